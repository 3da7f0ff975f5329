//! Which relays an entry believes to be reachable.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const DOWN_FIRST: Duration = Duration::from_millis(500);
const DOWN_DOUBLINGS_MAX: u32 = 4;
/// A relay that answered anything so lately is slow rather than gone.
const SILENT_AFTER: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Down {
    failures: u32,
    probe_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    relay: SocketAddr,
    answered_at: Option<Instant>,
    asked_at: Option<Instant>,
    down: Option<Down>,
}

/// Remembers when relays answered, and which ones failed until they answer again.
#[derive(Clone, Debug, Default)]
pub struct RelayHealth {
    relays: Vec<Known>,
}

impl RelayHealth {
    /// Tells whether a relay takes work.
    #[must_use]
    pub fn is_up(&self, relay: SocketAddr) -> bool {
        self.find(relay).map_or(true, |at| self.relays[at].down.is_none())
    }

    /// Notes a failure; returns whether the relay was up before.
    pub fn record_failure(&mut self, now: Instant, relay: SocketAddr) -> bool {
        let known = self.entry(relay);
        let failures = known.down.map_or(0, |down| down.failures + 1);
        let was_up = known.down.is_none();
        let wait = DOWN_FIRST * 2_u32.pow(failures.min(DOWN_DOUBLINGS_MAX));
        known.down = Some(Down { failures, probe_at: now + wait });
        was_up
    }

    /// Notes an answer that did not come in time; returns whether the relay became down.
    ///
    /// One late answer under load must not move the relay's blocks: that would
    /// load another relay and the targets in turn.
    pub fn record_timeout(&mut self, now: Instant, relay: SocketAddr) -> bool {
        let answered = self.entry(relay).answered_at;
        let silent = answered.is_none_or(|at| now.saturating_duration_since(at) >= SILENT_AFTER);
        silent && self.record_failure(now, relay)
    }

    /// Notes an answer; returns whether the relay was down before.
    pub fn record_answer(&mut self, now: Instant, relay: SocketAddr) -> bool {
        let known = self.entry(relay);
        known.answered_at = Some(now);
        known.down.take().is_some()
    }

    /// Notes that a relay said that it lives; whether it takes work is another question.
    pub fn record_alive(&mut self, now: Instant, relay: SocketAddr) {
        self.entry(relay).answered_at = Some(now);
    }

    /// Tells whether a relay said anything within a period.
    #[must_use]
    pub fn answered_within(&self, now: Instant, relay: SocketAddr, period: Duration) -> bool {
        let answered = self.find(relay).ok().and_then(|at| self.relays[at].answered_at);
        answered.is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Tells whether a relay is to be asked whether it lives, and notes that it is.
    ///
    /// All queries that wait for one relay share one question for each `timeout`.
    pub fn begin_liveness_check(&mut self, now: Instant, relay: SocketAddr, timeout: Duration) -> bool {
        let known = self.entry(relay);
        let is_asked = known.asked_at.is_some_and(|at| now.saturating_duration_since(at) < timeout);
        if !is_asked {
            known.asked_at = Some(now);
        }
        !is_asked
    }

    /// Lists the relays to probe now.
    #[must_use]
    pub fn due_probes(&self, now: Instant) -> Vec<SocketAddr> {
        let due = |known: &&Known| known.down.is_some_and(|down| down.probe_at <= now);
        self.relays.iter().filter(due).map(|known| known.relay).collect()
    }

    /// Forgets relays that are no longer listed; `listed` must be sorted.
    pub fn retain(&mut self, listed: &[SocketAddr]) {
        self.relays.retain(|known| listed.binary_search(&known.relay).is_ok());
    }

    fn find(&self, relay: SocketAddr) -> Result<usize, usize> {
        self.relays.binary_search_by_key(&relay, |known| known.relay)
    }

    fn entry(&mut self, relay: SocketAddr) -> &mut Known {
        let at = self.find(relay).unwrap_or_else(|at| {
            self.relays.insert(at, Known { relay, answered_at: None, asked_at: None, down: None });
            at
        });
        &mut self.relays[at]
    }
}
