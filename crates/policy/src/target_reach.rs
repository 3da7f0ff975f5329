//! Whether this host reaches any target, or is partitioned from all of them.
//!
//! A target that fails and a host that lost its links look alike in one exchange. Evidence from several
//! targets therefore starts a check: connections to a few targets. Only if none of them opens is the host
//! taken to be partitioned; see docs/DESIGN.md, "Hosts partitioned from all targets".

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Targets to which connections failed in a row, after which a check is due: one may have crashed.
const FAILED_TARGETS_MIN: usize = 2;
/// The least time without any answer after which a check is due.
const SILENCE_MIN: Duration = Duration::from_millis(100);
/// That time as a multiple of the typical latency of the exchanges that wait for an answer.
const SILENCE_FACTOR: f64 = 3.0;
/// The time from a check that reached a target to the next one.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// The time between checks while no target can be reached.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A change of whether this host reaches the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No target can be reached any more.
    Lost,
    /// Targets can be reached again, after this time.
    Regained(Duration),
}

/// Collects the evidence on whether this host reaches any target.
#[derive(Clone, Debug, Default)]
pub struct TargetReach {
    in_flight: usize,
    /// When a check is due, unless an answer arrives before.
    silent_from: Option<Instant>,
    answered_at: Option<Instant>,
    /// Targets to which connections failed since one was last opened.
    failed: Vec<SocketAddr>,
    /// The target to which a connection was opened last.
    opened: Option<SocketAddr>,
    /// Targets that had failed before; they count again if the opened connection breaks, as a device on the way
    /// may accept connections itself and then reset them.
    failed_before: Vec<SocketAddr>,
    is_checking: bool,
    checked_at: Option<Instant>,
    lost_at: Option<Instant>,
}

impl TargetReach {
    /// Records the start of an exchange with a target.
    pub fn begin(&mut self, now: Instant, typical_latency: Duration) {
        self.in_flight += 1;
        let due_at = now + silence_limit(typical_latency);
        self.silent_from = Some(self.silent_from.map_or(due_at, |at| at.min(due_at)));
    }

    /// Records the end of an exchange, however it ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_from = None;
        }
    }

    /// Records that a target answered an exchange of this typical latency.
    pub fn answered(&mut self, now: Instant, typical_latency: Duration) {
        self.answered_at = Some(now);
        self.silent_from = Some(now + silence_limit(typical_latency));
    }

    /// Records that a connection to a target was opened.
    pub fn connected(&mut self, target: SocketAddr) {
        self.opened = Some(target);
        let failed = std::mem::take(&mut self.failed);
        failed.into_iter().for_each(|target| add(&mut self.failed_before, target));
        // As many as start a check; targets come and go.
        self.failed_before.truncate(FAILED_TARGETS_MIN);
    }

    /// Records that no connection to a target could be opened, or that one broke during an exchange.
    pub fn connection_failed(&mut self, target: SocketAddr) {
        if self.opened == Some(target) {
            self.opened = None;
            let failed = std::mem::take(&mut self.failed_before);
            failed.into_iter().for_each(|target| add(&mut self.failed, target));
        }
        add(&mut self.failed, target);
    }

    /// Returns whether a check is due, and counts it as started if so.
    pub fn start_check(&mut self, now: Instant) -> bool {
        let interval = if self.is_lost() { RECHECK_INTERVAL } else { CHECK_INTERVAL };
        let is_recent = self.checked_at.is_some_and(|at| now.saturating_duration_since(at) < interval);
        let is_silent = self.silent_from.is_some_and(|at| now >= at);
        let is_doubtful = self.is_lost() || is_silent || self.failed.len() >= FAILED_TARGETS_MIN;
        let starts = is_doubtful && !is_recent && !self.is_checking;
        self.is_checking |= starts;
        starts
    }

    /// Records the result of a check: whether any of the targets could be reached.
    pub fn end_check(&mut self, now: Instant, has_reached: bool) -> Option<ReachChange> {
        self.is_checking = false;
        self.checked_at = Some(now);
        if has_reached {
            self.failed.clear();
            self.failed_before.clear();
            self.opened = None;
            self.silent_from = None;
        }
        match (self.lost_at, has_reached) {
            (None, false) => {
                self.lost_at = Some(now);
                Some(ReachChange::Lost)
            }
            (Some(lost_at), true) => {
                self.lost_at = None;
                Some(ReachChange::Regained(now.saturating_duration_since(lost_at)))
            }
            _ => None,
        }
    }

    /// Returns whether no target can be reached.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns the time since a target last answered.
    #[must_use]
    pub fn answer_age(&self, now: Instant) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns how many targets no connection could be opened to since one was last opened.
    #[must_use]
    pub fn failed_targets(&self) -> usize {
        self.failed.len()
    }
}

fn add(targets: &mut Vec<SocketAddr>, target: SocketAddr) {
    if !targets.contains(&target) {
        targets.push(target);
    }
}

fn silence_limit(typical_latency: Duration) -> Duration {
    typical_latency.mul_f64(SILENCE_FACTOR).max(SILENCE_MIN)
}
