//! The HTTP handler from which this host's metrics are scraped, and which explains its decisions.

use std::{fmt::Write, sync::Arc};

use egret_node::{HttpHandler, HttpRequest, Reply};

use crate::{
    clock::now,
    core::Core,
    explain::{self, EXPLAIN_PATH},
    front::CALLER_RECEIVE_BUFFER,
};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Responds with all counters and histograms, and with gauges as of that moment.
pub(crate) struct MetricsSite {
    pub(crate) core: Arc<Core>,
    /// Returns the number of log lines that were dropped so far.
    pub(crate) dropped_lines: Box<dyn Fn() -> u64 + Send + Sync>,
}

impl HttpHandler for MetricsSite {
    async fn respond(&self, call: HttpRequest) -> Reply {
        match call.path.as_str() {
            METRICS_PATH => {}
            EXPLAIN_PATH => return explain::respond(&self.core, &call),
            _ => return Reply::not_found(),
        }
        let mut text = self.core.instruments.metrics.render();
        for (name, value) in self.gauges() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "# TYPE egret_{name} gauge\negret_{name} {value}");
        }
        Reply::text(200, text)
    }
}

impl MetricsSite {
    fn gauges(&self) -> Vec<(&'static str, f64)> {
        let core = &self.core;
        let now = now();
        let state = core.targets.load().totals(now);
        let admission = core.admission().totals();
        let version = core.table.load().as_ref().map_or(0, |table| table.version().0);
        vec![
            ("config_version", version as f64),
            ("store_age_ms", core.store_age(now).map_or(-1.0, |age| age.as_secs_f64() * 1000.0)),
            ("hosts", core.known_hosts() as f64),
            ("is_gatherer", f64::from(u8::from(core.is_gatherer()))),
            ("targets_unreachable", f64::from(u8::from(core.is_partitioned()))),
            (
                "target_answer_age_ms",
                core.target_answer_age(now).map_or(-1.0, |age| age.as_secs_f64() * 1000.0),
            ),
            ("evacuated_data_centres", core.evacuated_data_centres() as f64),
            ("admission_limit", admission.limit),
            ("admission_in_flight", admission.in_flight as f64),
            ("admission_queued", admission.queued as f64),
            ("targets", state.targets as f64),
            ("targets_avoided", state.ejected as f64),
            ("slots_in_use", state.in_flight as f64),
            ("target_connections", state.connections as f64),
            ("memory_charged_bytes", core.memory.charged() as f64),
            ("memory_limit_bytes", core.memory.limit() as f64),
            ("caller_connections", core.callers.count() as f64),
            ("caller_receive_buffer_bytes", (core.callers.count() * CALLER_RECEIVE_BUFFER) as f64),
            ("least_budget", core.lowest_extra_attempt_budget()),
            ("log_lines_dropped", (self.dropped_lines)() as f64),
        ]
    }
}
