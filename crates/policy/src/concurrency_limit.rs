//! A limit on the queries in flight that adapts to the queueing delay at the targets and to the delay of the host.

use std::time::{Duration, Instant};

/// The limit before the first sign of congestion. It is above what a host has in flight under low load, so that it binds
/// only once targets report queues.
const LIMIT_INITIAL: f64 = 16.0;
/// The bounds of the limit. Below one, queries run one at a time with pauses in between.
const LIMIT_MIN: f64 = 0.25;
const LIMIT_MAX: f64 = 256.0;
/// The share of the limit that one decrease takes off at most, at a delay of twice the allowed one or more.
const DECREASE_MAX: f64 = 0.4;
/// Below this share of the allowed delay the targets have room to spare, and each query that ends while the limit binds
/// raises it by one, so that it doubles within one round trip.
const SPARE_CONGESTION: f64 = 0.4;
/// The limit does not fall below this because the host is late: pauses between queries would only leave it idle.
const HOST_LIMIT_MIN: f64 = 1.0;

/// A limit on the queries in flight: additive increase, multiplicative decrease.
///
/// Many hosts send to the same targets and none of them sees the whole load. Each follows the same signal, the queueing
/// delay that targets report, so that the sum of their limits stays near what the targets can complete in time,
/// whatever the number of hosts. A host that is late itself runs fewer queries at a time, whatever the targets report.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// Queries that began before this time were under way at the last decrease and say nothing about its effect.
    decreased_at: Option<Instant>,
    /// When the next query may start while the limit is below one.
    paused_until: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: LIMIT_INITIAL, decreased_at: None, paused_until: None }
    }
}

impl ConcurrencyLimit {
    /// Returns the number of queries that may be in flight.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether one more query may start beside those in flight.
    #[must_use]
    pub fn allows(&self, now: Instant, in_flight: usize) -> bool {
        if self.limit < 1.0 {
            return in_flight == 0 && self.paused_until.is_none_or(|until| now >= until);
        }
        ((in_flight + 1) as f64) <= self.limit
    }

    /// Returns when a query may start at the latest, if the limit is below one and none is in flight.
    #[must_use]
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until.filter(|_| self.limit < 1.0)
    }

    /// Records the end of a query that began at `began_at` with `in_flight` queries, itself included.
    ///
    /// `congestion` is the queueing delay that it found, as a multiple of the allowed one; `None` if it met no target
    /// that reports its queue, which counts as none. `host_congestion` is the delay of this host itself, likewise.
    pub fn record(
        &mut self,
        now: Instant,
        began_at: Instant,
        in_flight: usize,
        congestion: Option<f64>,
        host_congestion: f64,
    ) {
        let duration = now.saturating_duration_since(began_at);
        let pause = (1.0 / self.limit - 1.0).max(0.0);
        self.paused_until = (pause > 0.0).then(|| now + duration.mul_f64(pause));
        let target_congestion = congestion.unwrap_or(0.0);
        // A query that runs alone is late by its own work, which a lower limit does not change.
        let is_host_late = host_congestion > 1.0 && self.limit >= HOST_LIMIT_MIN;
        let host_counts = in_flight > 1 && self.limit > HOST_LIMIT_MIN;
        let congestion = target_congestion.max(if host_counts { host_congestion } else { 0.0 });
        let limit_min = if congestion > target_congestion { HOST_LIMIT_MIN } else { LIMIT_MIN };
        if congestion > 1.0 {
            if self.decreased_at.is_none_or(|at| began_at >= at) {
                let decrease = (DECREASE_MAX * (congestion - 1.0)).min(DECREASE_MAX);
                // Where the limit is far above what is in flight, a decrease starts from there.
                let from = self.limit.min((in_flight + 1) as f64);
                self.limit = (from * (1.0 - decrease)).max(limit_min);
                self.decreased_at = Some(now);
            }
        } else if (in_flight + 1) as f64 > self.limit && !is_host_late {
            let increase = if congestion < SPARE_CONGESTION { 1.0 } else { 1.0 / self.limit.max(1.0) };
            self.limit = (self.limit + increase).min(LIMIT_MAX);
        }
    }

    /// Returns the expected number of starts per second while the limit binds.
    #[must_use]
    pub fn starts_per_s(&self, typical_duration: Duration) -> f64 {
        self.limit / typical_duration.as_secs_f64().max(0.001)
    }
}
