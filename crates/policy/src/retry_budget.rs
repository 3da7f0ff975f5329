//! The retry budget for hedges and retries, which hosts share without coordination.

use std::time::{Duration, Instant};

use egret_model::record;

record! {
    /// The limits of what all hosts together may send beyond the first attempt of each request.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// The extra arrivals at a service that are allowed per request.
        pub ratio: f64,
        /// The extra arrivals that are allowed in a window on top of the ratio.
        pub slack: f64,
        /// The length of the window in milliseconds.
        pub window_ms: u64,
    }
}

/// The share of the ratio that is used; the rest covers requests that are counted elsewhere or lost.
const RATIO_USED: f64 = 0.9;
/// The share of the slack that may accumulate for a burst.
const BURST_SLACK_SHARE: f64 = 0.5;
/// The share of the slack that is refilled in one window.
const REFILL_SLACK_SHARE: f64 = 0.3;
/// The share of the burst that a host starts with; an earlier run of it may have spent tokens in the
/// same window.
const BURST_SHARE_AT_START: f64 = 0.3;

/// The extra arrivals that this host may cause at one service, as a token bucket.
///
/// A host earns tokens with its own requests and gets an equal share of the slack. The sum over all
/// hosts stays within the limits as long as the number of hosts is not underestimated.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a budget with few tokens.
    #[must_use]
    pub fn new(now: Instant, limits: RetryLimits, hosts: usize) -> Self {
        let mut budget = Self { limits, tokens: 0.0, refilled_at: now };
        budget.tokens = budget.slack_share(hosts) * BURST_SLACK_SHARE * BURST_SHARE_AT_START;
        budget
    }

    /// Adds the tokens that the first attempt of a request earns.
    pub fn earn(&mut self, hosts: usize) {
        self.tokens = (self.tokens + self.limits.ratio * RATIO_USED).min(self.tokens_max(hosts));
    }

    /// Takes a token for one extra attempt; returns false where there is none.
    pub fn spend(&mut self, now: Instant, hosts: usize) -> bool {
        self.refill(now, hosts);
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }

    /// Returns the tokens that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Instant, hosts: usize) {
        let window = Duration::from_millis(self.limits.window_ms);
        let windows = now.saturating_duration_since(self.refilled_at).as_secs_f64() / window.as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + windows * self.slack_share(hosts) * REFILL_SLACK_SHARE)
            .min(self.tokens_max(hosts));
    }

    fn slack_share(&self, hosts: usize) -> f64 {
        self.limits.slack / hosts.max(1) as f64
    }

    fn tokens_max(&self, hosts: usize) -> f64 {
        (self.slack_share(hosts) * BURST_SLACK_SHARE).max(1.0)
    }
}
