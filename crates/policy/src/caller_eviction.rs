//! Which caller connection is closed when memory or file descriptors are short.

use std::{net::IpAddr, time::Instant};

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It was accepted and not read from yet.
    New,
    /// Nothing was received since it was accepted.
    Silent,
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
    /// The address that the connection comes from: a caller, or a balancer with many callers behind it.
    pub address: IpAddr,
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
/// A head or a body arrives faster than this, in milliseconds, unless its caller holds it back.
const REQUEST_STALL_MIN_MS: u128 = 500;
/// An answer that is read at all makes progress within this time, in milliseconds.
const READ_STALL_MIN_MS: u128 = 500;

/// Requests that hold no more than this free too little to be worth closing while a larger one can be.
const ORDINARY_BYTES: usize = 16 << 10;

/// Chooses the connection to close; returns `None` if there is none that may be closed.
///
/// Among unfinished requests, large ones go before those of an ordinary size, and then the one with the longest
/// time without progress; times are compared by their doublings. Among equals, those of an address over its share go
/// first, and then the one that holds most. That share is `address_percent` of the callers' connections, or of the
/// bytes of their large requests; it only orders evictions. A running request is never chosen, as its target may have run it.
///
/// For connections, idle ones go before all others: those of an address over its share first, then the longest idle
/// one. Requests of such an address count as idle, because they would otherwise displace the idle connections of all
/// others; heads that just arrive do not, and connections that were just accepted are the last of them. Silent
/// connections of any address count as idle after a time. Connections that were just accepted, and heads that just
/// arrive, go after all others: a crowd that opens its connections again would otherwise displace them before they are
/// read.
///
/// For memory new and idle connections are not chosen, as they hold little.
pub fn choose_evicted<K>(
    now: Instant,
    shortage: Shortage,
    address_percent: usize,
    connections: impl IntoIterator<Item = (K, ConnectionLoad)>,
) -> Option<K> {
    let connections: Vec<(K, ConnectionLoad)> = connections.into_iter().collect();
    let shares = AddressShares::of(shortage, address_percent, connections.iter().map(|(_, load)| load));
    let rank = |load| rank(now, shortage, load, shares.excess(load.address));
    let ranked = connections.into_iter().filter_map(|(key, load)| Some((rank(load)?, key)));
    ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}

/// When a connection is evicted, in ascending order of its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    Last,
    Normal,
    First,
}

/// Returns the rank of a connection whose address holds `excess`; the greatest one is evicted.
fn rank(
    now: Instant,
    shortage: Shortage,
    load: ConnectionLoad,
    excess: usize,
) -> Option<(EvictionClass, u128, u128, usize, u128)> {
    let stalled_ms = now.saturating_duration_since(load.progress_at).as_millis();
    let is_stalled = stalled_ms >= REQUEST_STALL_MIN_MS;
    let stall_class = u128::from((stalled_ms / STALL_UNIT_MS + 1).ilog2());
    let excess = excess as u128;
    match load.phase {
        ConnectionPhase::Running => return None,
        ConnectionPhase::New | ConnectionPhase::Silent | ConnectionPhase::Idle
            if shortage == Shortage::Memory =>
        {
            return None;
        }
        ConnectionPhase::Writing if stalled_ms < READ_STALL_MIN_MS => return None,
        _ => {}
    }
    match shortage {
        Shortage::Connections => {
            let class = match load.phase {
                ConnectionPhase::Idle => EvictionClass::First,
                ConnectionPhase::Silent if is_stalled => EvictionClass::First,
                ConnectionPhase::Head if excess > 0 && !is_stalled => EvictionClass::Last,
                _ if excess > 0 => EvictionClass::First,
                ConnectionPhase::Body | ConnectionPhase::Writing => EvictionClass::Normal,
                _ if is_stalled => EvictionClass::Normal,
                _ => EvictionClass::Last,
            };
            // How long a request has made no progress also depends on when this host last read it.
            let stall = match (class, load.phase) {
                (_, ConnectionPhase::New) => 0,
                (EvictionClass::First, _) => stalled_ms.max(1),
                _ => stall_class,
            };
            Some((class, excess, stall, load.held_bytes, stalled_ms))
        }
        Shortage::Memory => {
            let is_large = load.held_bytes > ORDINARY_BYTES;
            let class = if is_large { EvictionClass::First } else { EvictionClass::Normal };
            Some((class, stall_class, excess, load.held_bytes, 0))
        }
    }
}

/// What each address holds of what is short, sorted by address.
struct AddressShares {
    held: Vec<(IpAddr, usize)>,
    total: usize,
    /// The percentage of the total that one address may hold.
    percent: usize,
}

impl AddressShares {
    fn of<'a>(shortage: Shortage, percent: usize, loads: impl Iterator<Item = &'a ConnectionLoad>) -> Self {
        let amount = |load: &ConnectionLoad| match shortage {
            Shortage::Connections => 1,
            Shortage::Memory if load.held_bytes > ORDINARY_BYTES => load.held_bytes,
            Shortage::Memory => 0,
        };
        let mut held: Vec<(IpAddr, usize)> = loads.map(|load| (load.address, amount(load))).collect();
        held.sort_unstable_by_key(|(address, _)| *address);
        held.dedup_by(|next, kept| {
            let is_same = next.0 == kept.0;
            if is_same {
                kept.1 += next.1;
            }
            is_same
        });
        let total = held.iter().map(|(_, amount)| amount).sum();
        Self { held, total, percent }
    }

    /// Returns what an address holds if that is over its share, else 0. An address that holds everything has no
    /// excess, as nobody else waits for it to give way.
    fn excess(&self, address: IpAddr) -> usize {
        let found = self.held.binary_search_by_key(&address, |(known, _)| *known);
        let held = found.map_or(0, |at| self.held[at].1);
        let is_over = held < self.total && held.saturating_mul(100) > self.total.saturating_mul(self.percent);
        if is_over { held } else { 0 }
    }
}
