//! The latency of exchanges with targets, per route, and the hedge delay that follows from it.

use std::time::Duration;

use egret_policy::LatencyWindow;
use egret_routes::Route;

/// The hedge delay is this quantile of the latencies of recent exchanges, times the factor below.
const HEDGE_DELAY_QUANTILE: f64 = 0.9;
/// Keeps the hedges well below one in ten requests, which the quantile alone would give.
const HEDGE_DELAY_FACTOR: f64 = 1.25;
/// The longest hedge delay, as a share of the latency objective, so that a hedge can still be in time.
const HEDGE_DELAY_OBJECTIVE_SHARE: f64 = 0.45;
/// The quantile that counts as the typical latency. It is a low one, as the typical latency is that
/// of a request without queueing, and only the faster ones show it.
const TYPICAL_QUANTILE: f64 = 0.35;
/// The typical latency before there are samples, as a share of the latency objective.
const INITIAL_TYPICAL_OBJECTIVE_SHARE: f64 = 0.15;
/// The quantiles are recomputed after so many samples, as that sorts the window.
const SAMPLES_PER_UPDATE: usize = 32;

/// The recent latencies of a route's exchanges with targets.
#[derive(Clone, Debug)]
pub(crate) struct RouteLatency {
    window: LatencyWindow,
    samples_since_update: usize,
    typical: Duration,
    hedge_delay: Duration,
    objective: Duration,
}

impl RouteLatency {
    pub(crate) fn new(route: &Route) -> Self {
        let objective = Duration::from_millis(route.latency_objective_ms);
        Self {
            window: LatencyWindow::default(),
            samples_since_update: 0,
            typical: objective.mul_f64(INITIAL_TYPICAL_OBJECTIVE_SHARE),
            hedge_delay: objective.mul_f64(HEDGE_DELAY_OBJECTIVE_SHARE),
            objective,
        }
    }

    /// Adds the latency of a successful exchange.
    pub(crate) fn add(&mut self, latency: Duration) {
        self.window.add(latency);
        self.samples_since_update += 1;
        if self.samples_since_update >= SAMPLES_PER_UPDATE {
            self.samples_since_update = 0;
            self.typical = self.window.quantile(TYPICAL_QUANTILE).unwrap_or(self.typical);
            let late = self.window.quantile(HEDGE_DELAY_QUANTILE).unwrap_or(self.hedge_delay);
            self.hedge_delay =
                late.mul_f64(HEDGE_DELAY_FACTOR).min(self.objective.mul_f64(HEDGE_DELAY_OBJECTIVE_SHARE));
        }
    }

    /// Returns the latency of an exchange without queueing.
    pub(crate) fn typical(&self) -> Duration {
        self.typical
    }

    /// Returns how long after an attempt a hedge may be sent.
    pub(crate) fn hedge_delay(&self) -> Duration {
        self.hedge_delay
    }
}
