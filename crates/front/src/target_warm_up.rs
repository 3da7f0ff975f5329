//! The warm-up of one target, as this host knows it.

use std::time::{Duration, Instant};

use egret_policy::WarmUpWindow;
use egret_routes::Replica;

/// The cost of a cold target, relative to that of a warm one.
const COLD_COST_FACTOR: f64 = 1.6;

/// The warm-up of one target.
///
/// A report states how long the replica stays cold; the rest runs down on this host's clock from the
/// moment the report arrived, so that it never ends too early here.
#[derive(Debug)]
pub(crate) struct TargetWarmUp {
    report_number: u64,
    warm_at: Option<Instant>,
    /// The requests that this host may send within a second while the target warms up; `None` if its
    /// service sets no limit.
    quota: Option<usize>,
    /// Whether this host owns the target while it warms up.
    is_owner: bool,
    window: WarmUpWindow,
}

impl TargetWarmUp {
    pub(crate) fn new(now: Instant, replica: &Replica) -> Self {
        Self {
            report_number: replica.report_number,
            warm_at: end(now, replica),
            quota: None,
            is_owner: false,
            window: WarmUpWindow::default(),
        }
    }

    /// Takes over a report, unless it was seen before: a replica may become cold again at any time.
    pub(crate) fn observe(&mut self, now: Instant, replica: &Replica) {
        if replica.report_number != self.report_number {
            self.report_number = replica.report_number;
            self.warm_at = end(now, replica);
        }
    }

    /// Sets how many requests this host may send to the cold target within a second, `None` without limit.
    pub(crate) fn set_quota(&mut self, quota: Option<usize>) {
        self.quota = quota;
    }

    pub(crate) fn set_owner(&mut self, is_owner: bool) {
        self.is_owner = is_owner;
    }

    /// Treats the target as cold for at least `duration`, whatever it reported.
    pub(crate) fn extend(&mut self, now: Instant, duration: Duration) {
        self.warm_at = self.warm_at.max(Some(now + duration));
    }

    /// Returns the factor by which the target's cost is greater than once it is warm.
    pub(crate) fn cost_factor(&self, now: Instant) -> f64 {
        if self.is_cold(now) { COLD_COST_FACTOR } else { 1.0 }
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.warm_at.is_some_and(|warm_at| now < warm_at)
    }

    /// Returns whether this host may send the target one more request now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        match self.quota.filter(|_| self.is_cold(now)) {
            Some(quota) => self.is_owner && self.window.has_room(now, quota),
            None => true,
        }
    }

    /// Counts a request that is about to be sent; returns whether it may be sent.
    pub(crate) fn try_send(&mut self, now: Instant) -> bool {
        match self.quota.filter(|_| self.is_cold(now)) {
            Some(quota) => self.is_owner && self.window.try_send(now, quota),
            None => true,
        }
    }
}

fn end(now: Instant, replica: &Replica) -> Option<Instant> {
    (replica.warm_up_ms > 0).then(|| now + Duration::from_millis(replica.warm_up_ms))
}
