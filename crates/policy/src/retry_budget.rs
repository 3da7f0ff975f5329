//! The budget for second copies and repeats, shared by all hosts without talking.

use std::time::{Duration, Instant};

use egret_model::record;

record! {
    /// What all hosts together may send beyond the first copy of each request.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// Extra arrivals for each request.
        pub ratio: f64,
        /// Extra arrivals in a window besides.
        pub slack: f64,
        /// Milliseconds of the window.
        pub window_ms: u64,
    }
}

/// The share of the limits that is used, for requests that count elsewhere or are lost.
const USED_RATIO: f64 = 0.9;
/// The share of the slack that may be saved for a burst.
const SAVED_SLACK: f64 = 0.5;
/// The share of the slack that comes back in one window.
const REFILLED_SLACK: f64 = 0.3;
/// What a host that just started may spend of what it could have saved; an earlier run of it
/// may have spent as well.
const SAVED_AT_START: f64 = 0.3;

/// Extra arrivals that this host may cause at one service.
///
/// A host earns for its own requests and takes an equal part of the slack; the sum over
/// all hosts stays inside the limits as long as their count is not underestimated.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a budget that has little saved yet.
    #[must_use]
    pub fn new(now: Instant, limits: RetryLimits, hosts: usize) -> Self {
        let mut budget = Self { limits, tokens: 0.0, refilled_at: now };
        budget.tokens = budget.slack_share(hosts) * SAVED_SLACK * SAVED_AT_START;
        budget
    }

    /// Counts a request's first copy.
    pub fn earn(&mut self, hosts: usize) {
        self.tokens = (self.tokens + self.limits.ratio * USED_RATIO).min(self.saved_max(hosts));
    }

    /// Takes one extra copy out of the budget, if there is one.
    pub fn spend(&mut self, now: Instant, hosts: usize) -> bool {
        self.refill(now, hosts);
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }

    /// Returns the extra copies that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Instant, hosts: usize) {
        let window = Duration::from_millis(self.limits.window_ms);
        let windows = now.saturating_duration_since(self.refilled_at).as_secs_f64() / window.as_secs_f64();
        self.refilled_at = now;
        self.tokens =
            (self.tokens + windows * self.slack_share(hosts) * REFILLED_SLACK).min(self.saved_max(hosts));
    }

    fn slack_share(&self, hosts: usize) -> f64 {
        self.limits.slack / hosts.max(1) as f64
    }

    fn saved_max(&self, hosts: usize) -> f64 {
        (self.slack_share(hosts) * SAVED_SLACK).max(1.0)
    }
}
