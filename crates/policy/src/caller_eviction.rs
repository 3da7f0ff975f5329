//! Which caller connection is closed when memory or file descriptors are short.

use std::time::Instant;

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request is in progress.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request was read completely and is being answered. It may be running at a target.
    Running,
    /// An answer waits for its caller to read it.
    Writing,
}

/// A caller's connection, as far as eviction needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLoad {
    /// What the connection is doing.
    pub phase: ConnectionPhase,
    /// Since when no bytes of the body arrived or no bytes of the answer were read; for other phases, when
    /// the phase began.
    pub progress_at: Instant,
    /// The bytes that the connection holds.
    pub held_bytes: usize,
}

/// What is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Memory for bodies, messages and answers.
    Memory,
    /// File descriptors of connections, or memory for their buffers.
    Connections,
}

/// Times without progress up to this many milliseconds count as equal, because each caller pauses between
/// two packets.
const STALL_UNIT_MS: u128 = 100;
/// An answer that is read at all makes progress within this time, in milliseconds.
const READ_STALL_MIN_MS: u128 = 500;

/// Requests that hold no more than this free too little to be worth closing while a larger one can be.
const ORDINARY_BYTES: usize = 16 << 10;

/// Chooses the connection to close; returns `None` if there is none that may be closed.
///
/// Among unfinished requests, large ones go before those of an ordinary size, and then the one with the longest
/// time without progress; times are compared by their doublings. Among equals, the one that holds most goes first. A running request is never chosen,
/// as its target may have run it. For connections, idle ones go before all others, the longest idle one
/// first; for memory they are not chosen, as they hold little.
pub fn choose_evicted<K>(
    now: Instant,
    shortage: Shortage,
    connections: impl IntoIterator<Item = (K, ConnectionLoad)>,
) -> Option<K> {
    let ranked = connections.into_iter().filter_map(|(key, load)| Some((rank(now, shortage, load)?, key)));
    ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}

/// Returns the rank of a connection; the greatest one is evicted.
fn rank(now: Instant, shortage: Shortage, load: ConnectionLoad) -> Option<(bool, u128, usize)> {
    let stalled_ms = now.saturating_duration_since(load.progress_at).as_millis();
    let is_idle = load.phase == ConnectionPhase::Idle;
    match load.phase {
        ConnectionPhase::Running => return None,
        ConnectionPhase::Idle if shortage == Shortage::Memory => return None,
        ConnectionPhase::Writing if stalled_ms < READ_STALL_MIN_MS => return None,
        _ => {}
    }
    match shortage {
        Shortage::Connections => Some((is_idle, stalled_ms, load.held_bytes)),
        Shortage::Memory => {
            let is_large = load.held_bytes > ORDINARY_BYTES;
            Some((is_large, u128::from((stalled_ms / STALL_UNIT_MS + 1).ilog2()), load.held_bytes))
        }
    }
}
