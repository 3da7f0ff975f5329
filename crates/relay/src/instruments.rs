//! The relay's metrics.

use egret_node::{Metrics, label};
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// The metrics of a relay; docs/OPERATIONS.md says which ones to watch.
#[derive(Clone, Debug)]
pub(crate) struct Instruments {
    attempts: Counter<u64>,
    hedges: Counter<u64>,
    retries: Counter<u64>,
    ends: Counter<u64>,
    misses: Counter<u64>,
    pub(crate) exchange_ms: Histogram<f64>,
    pub(crate) slots_in_use: Gauge<u64>,
    pub(crate) queue_length: Gauge<u64>,
    pub(crate) config_version: Gauge<u64>,
}

impl Instruments {
    pub(crate) fn open(metrics: &Metrics) -> Self {
        Self {
            attempts: metrics.counter("target_attempts", "Sub-requests sent to targets."),
            hedges: metrics.counter("target_hedges", "Sub-requests sent as hedges."),
            retries: metrics.counter("target_retries", "Sub-requests sent again after a failure."),
            ends: metrics.counter("target_ends", "Ends of sub-requests by kind."),
            misses: metrics.counter("shard_misses", "Shards not covered by cause."),
            exchange_ms: metrics.latency("target_exchange_ms", "Time of answered sub-requests."),
            slots_in_use: metrics.gauge("slots_in_use", "Requests in flight at all targets."),
            queue_length: metrics.gauge("queue_length", "Sub-requests that wait for a slot."),
            config_version: metrics.gauge("config_version", "Version of the configuration in force."),
        }
    }

    pub(crate) fn count_attempt(&self) {
        self.attempts.add(1, &[]);
    }

    pub(crate) fn count_hedge(&self) {
        self.hedges.add(1, &[]);
    }

    pub(crate) fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    pub(crate) fn count_end(&self, kind: &'static str) {
        self.ends.add(1, &[label("kind", kind)]);
    }

    pub(crate) fn count_misses(&self, cause: egret_model::MissCause, count: usize) {
        self.misses.add(count as u64, &[label("cause", cause)]);
    }
}
