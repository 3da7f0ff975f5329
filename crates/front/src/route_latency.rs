//! How long requests of one route take at targets.

use std::time::Duration;

use egret_policy::LatencyWindow;
use egret_routes::Route;

/// A second copy goes out when an exchange takes longer than this share of them does.
const HEDGE_QUANTILE: f64 = 0.9;
/// And that much longer, so that not each tenth request gets one.
const HEDGE_FACTOR: f64 = 1.25;
/// A second copy must still have a chance to come in time: no later than this share of the goal.
const HEDGE_GOAL_SHARE: f64 = 0.45;
/// What a request takes that waits for nothing: the faster ones show it.
const TYPICAL_QUANTILE: f64 = 0.35;
/// What a request is taken to need before anything is known, as a share of the goal.
const INITIAL_TYPICAL_GOAL_SHARE: f64 = 0.15;
/// Samples between two computations of the quantile, which sorts the window.
const RECOMPUTE_EVERY: usize = 32;

/// How long requests of one route take at targets.
#[derive(Clone, Debug)]
pub(crate) struct RouteLatency {
    window: LatencyWindow,
    since_computed: usize,
    typical: Duration,
    hedge_after: Duration,
    goal: Duration,
}

impl RouteLatency {
    pub(crate) fn new(route: &Route) -> Self {
        let goal = Duration::from_millis(route.latency_objective_ms);
        Self {
            window: LatencyWindow::default(),
            since_computed: 0,
            typical: goal.mul_f64(INITIAL_TYPICAL_GOAL_SHARE),
            hedge_after: goal.mul_f64(HEDGE_GOAL_SHARE),
            goal,
        }
    }

    /// Adds the latency of an exchange that was answered.
    pub(crate) fn add(&mut self, latency: Duration) {
        self.window.add(latency);
        self.since_computed += 1;
        if self.since_computed >= RECOMPUTE_EVERY {
            self.since_computed = 0;
            self.typical = self.window.quantile(TYPICAL_QUANTILE).unwrap_or(self.typical);
            let late = self.window.quantile(HEDGE_QUANTILE).unwrap_or(self.hedge_after);
            self.hedge_after = late.mul_f64(HEDGE_FACTOR).min(self.goal.mul_f64(HEDGE_GOAL_SHARE));
        }
    }

    /// Returns how long an exchange usually takes.
    pub(crate) fn typical(&self) -> Duration {
        self.typical
    }

    /// Returns when a second copy makes sense.
    pub(crate) fn hedge_after(&self) -> Duration {
        self.hedge_after
    }
}
