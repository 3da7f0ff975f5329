//! The entry's metrics.

use egret_model::RefusalKind;
use egret_node::{Metrics, label};
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// The metrics of an entry; docs/OPERATIONS.md says which of them to watch.
#[derive(Clone, Debug)]
pub(crate) struct Instruments {
    refusals: Counter<u64>,
    pub(crate) answers: Counter<u64>,
    pub(crate) latency_ms: Histogram<f64>,
    pub(crate) attempts: Counter<u64>,
    pub(crate) needed: Counter<u64>,
    pub(crate) covered: Counter<u64>,
    pub(crate) missing: Counter<u64>,
    pub(crate) scatters: Counter<u64>,
    pub(crate) preflights: Counter<u64>,
    pub(crate) version: Gauge<u64>,
}

impl Instruments {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        Self {
            refusals: metrics.counter("query_refusals", "Refused queries by kind."),
            answers: metrics.counter("query_answers", "Answered queries."),
            latency_ms: metrics.latency("query_latency_ms", "Time from a query's arrival to its answer."),
            attempts: metrics.counter("query_attempts", "Sub-requests sent for answered queries."),
            needed: metrics.counter("query_needed", "Sub-requests that answered queries needed."),
            covered: metrics.counter("shards_covered", "Shards covered by answers."),
            missing: metrics.counter("shards_missing", "Shards missing from answers."),
            scatters: metrics.counter("scatter_messages", "Messages sent to relays."),
            preflights: metrics
                .counter("preflight_messages", "Questions to relays whether they would refuse."),
            version: metrics.gauge("config_version", "Version of the configuration in force."),
        }
    }

    pub(crate) fn record_refusal(&self, kind: RefusalKind) {
        self.refusals.add(1, &[label("kind", kind)]);
    }
}
