//! The reachability of relays, as an entry sees it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The time until the first probe of a relay that is down; each further failure doubles it.
const PROBE_DELAY_FIRST: Duration = Duration::from_millis(500);
const PROBE_DELAY_DOUBLINGS_MAX: u32 = 4;
/// A relay that answered anything within this time is slow rather than down.
const SILENT_AFTER: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Down {
    failures: u32,
    probe_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RelayState {
    relay: SocketAddr,
    answered_at: Option<Instant>,
    checked_at: Option<Instant>,
    down: Option<Down>,
}

/// Records when each relay last answered, and which relays are down until they answer again.
#[derive(Clone, Debug, Default)]
pub struct RelayHealth {
    relays: Vec<RelayState>,
}

impl RelayHealth {
    /// Tells whether a relay counts as up; an unknown one does.
    #[must_use]
    pub fn is_up(&self, relay: SocketAddr) -> bool {
        self.find(relay).map_or(true, |at| self.relays[at].down.is_none())
    }

    /// Records a failure; returns whether the relay was up before.
    pub fn record_failure(&mut self, now: Instant, relay: SocketAddr) -> bool {
        let state = self.entry(relay);
        let failures = state.down.map_or(0, |down| down.failures + 1);
        let was_up = state.down.is_none();
        let wait = PROBE_DELAY_FIRST * 2_u32.pow(failures.min(PROBE_DELAY_DOUBLINGS_MAX));
        state.down = Some(Down { failures, probe_at: now + wait });
        was_up
    }

    /// Records a timeout; returns whether the relay became down.
    ///
    /// One late answer under load must not move the relay's blocks, because that
    /// would put the load on another relay and on the targets in turn.
    pub fn record_timeout(&mut self, now: Instant, relay: SocketAddr) -> bool {
        let answered_at = self.entry(relay).answered_at;
        let is_silent = answered_at.is_none_or(|at| now.saturating_duration_since(at) >= SILENT_AFTER);
        is_silent && self.record_failure(now, relay)
    }

    /// Records an answer; returns whether the relay was down before.
    pub fn record_answer(&mut self, now: Instant, relay: SocketAddr) -> bool {
        let state = self.entry(relay);
        state.answered_at = Some(now);
        state.down.take().is_some()
    }

    /// Records a sign of life of a relay, which does not show that it takes work again.
    pub fn record_alive(&mut self, now: Instant, relay: SocketAddr) {
        self.entry(relay).answered_at = Some(now);
    }

    /// Tells whether a relay answered or showed a sign of life within a period.
    #[must_use]
    pub fn answered_within(&self, now: Instant, relay: SocketAddr, period: Duration) -> bool {
        let answered = self.find(relay).ok().and_then(|at| self.relays[at].answered_at);
        answered.is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Tells whether to send a liveness check to a relay now, and records it as sent.
    ///
    /// All queries that wait for one relay share one check for each `timeout`.
    pub fn begin_liveness_check(&mut self, now: Instant, relay: SocketAddr, timeout: Duration) -> bool {
        let state = self.entry(relay);
        let is_checked = state.checked_at.is_some_and(|at| now.saturating_duration_since(at) < timeout);
        if !is_checked {
            state.checked_at = Some(now);
        }
        !is_checked
    }

    /// Lists the relays that are due for a probe.
    #[must_use]
    pub fn due_probes(&self, now: Instant) -> Vec<SocketAddr> {
        let due = |state: &&RelayState| state.down.is_some_and(|down| down.probe_at <= now);
        self.relays.iter().filter(due).map(|state| state.relay).collect()
    }

    /// Drops relays that are no longer listed; `listed` must be sorted.
    pub fn retain(&mut self, listed: &[SocketAddr]) {
        self.relays.retain(|state| listed.binary_search(&state.relay).is_ok());
    }

    fn find(&self, relay: SocketAddr) -> Result<usize, usize> {
        self.relays.binary_search_by_key(&relay, |state| state.relay)
    }

    fn entry(&mut self, relay: SocketAddr) -> &mut RelayState {
        let at = self.find(relay).unwrap_or_else(|at| {
            self.relays.insert(at, RelayState { relay, answered_at: None, checked_at: None, down: None });
            at
        });
        &mut self.relays[at]
    }
}
