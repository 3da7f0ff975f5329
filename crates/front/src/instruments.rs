//! The counters and latency histograms of one host, for scraping.

use std::time::Duration;

use egret_node::{Metrics, label};
use egret_policy::Shortage;
use opentelemetry::metrics::{Counter, Histogram};

/// The counters and latency histograms of one host; scraping them waits for no request.
#[derive(Debug)]
pub(crate) struct Instruments {
    pub(crate) metrics: Metrics,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    part_latency: Histogram<f64>,
    answer_delay: Histogram<f64>,
    host_delay: Histogram<f64>,
    parts_missing: Counter<u64>,
    extra_attempts: Counter<u64>,
    exchanges: Counter<u64>,
    connections: Counter<u64>,
    gathers: Counter<u64>,
    gather_shares: Counter<u64>,
    admissions: Counter<u64>,
    forwards: Counter<u64>,
    placements: Counter<u64>,
    store_calls: Counter<u64>,
    gossip_exchanges: Counter<u64>,
    evictions: Counter<u64>,
    memory_refusals: Counter<u64>,
}

impl Instruments {
    pub(crate) fn open() -> Self {
        let metrics = Metrics::open();
        Self {
            requests: metrics.counter("requests", "Callers' requests by the status that they got."),
            latency: metrics.latency("request_ms", "Milliseconds until callers' requests were answered."),
            part_latency: metrics.latency("part_ms", "Milliseconds until targets answered with success."),
            answer_delay: metrics.latency(
                "answer_way_ms",
                "Milliseconds from when a gather's answer was due until it was written.",
            ),
            host_delay: metrics
                .latency("gather_delay_ms", "Milliseconds by which this host was late to continue a gather."),
            parts_missing: metrics.counter("parts_missing", "Shards that successful answers lack."),
            extra_attempts: metrics.counter("extra_copies", "Copies beyond the first of each service."),
            exchanges: metrics.counter("exchanges", "Exchanges with targets by their end."),
            connections: metrics.counter("connections_opened", "Connections opened to targets."),
            gathers: metrics.counter("gathers", "Gathers by who asked the targets."),
            gather_shares: metrics.counter(
                "gather_shares",
                "Shares of gathers that other hosts of the data centre were asked for.",
            ),
            admissions: metrics
                .counter("admissions", "Gathers by whether they started, waited or were refused."),
            forwards: metrics
                .counter("forwards", "Requests for one target sent to other hosts, by their end."),
            placements: metrics.counter(
                "placements",
                "Requests for one target by whether one was expected to complete them.",
            ),
            store_calls: metrics.counter("store_calls", "Calls to the platform's store by their end."),
            evictions: metrics
                .counter("evictions", "Callers' connections closed for lack of memory or descriptors."),
            memory_refusals: metrics
                .counter("memory_refusals", "Bodies, answers, messages and connections without memory."),
            gossip_exchanges: metrics.counter("news", "Messages to other hosts by their end."),
            metrics,
        }
    }

    pub(crate) fn request(&self, status: u16, latency: Duration) {
        self.requests.add(1, &[label("status", status)]);
        self.latency.record(latency.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn part(&self, latency: Duration) {
        self.part_latency.record(latency.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn answer_delay(&self, delay: Duration) {
        self.answer_delay.record(delay.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn host_delay(&self, delay: Duration) {
        self.host_delay.record(delay.as_secs_f64() * 1000.0, &[]);
    }

    pub(crate) fn gather_end(&self, missing: usize, extra: u32) {
        self.parts_missing.add(missing as u64, &[]);
        self.extra_attempts.add(u64::from(extra), &[]);
    }

    pub(crate) fn exchange(&self, end: &'static str) {
        self.exchanges.add(1, &[label("end", end)]);
    }

    pub(crate) fn connection(&self) {
        self.connections.add(1, &[]);
    }

    pub(crate) fn gather(&self, by: &'static str) {
        self.gathers.add(1, &[label("by", by)]);
    }

    pub(crate) fn gather_shares(&self, shares: usize) {
        self.gather_shares.add(shares as u64, &[]);
    }

    pub(crate) fn admission(&self, end: &'static str) {
        self.admissions.add(1, &[label("end", end)]);
    }

    pub(crate) fn forward(&self, end: &'static str) {
        self.forwards.add(1, &[label("end", end)]);
    }

    pub(crate) fn placement(&self, end: &'static str) {
        self.placements.add(1, &[label("end", end)]);
    }

    pub(crate) fn store_call(&self, end: &'static str) {
        self.store_calls.add(1, &[label("end", end)]);
    }

    pub(crate) fn eviction(&self, shortage: Shortage) {
        let cause = match shortage {
            Shortage::Memory => "memory",
            Shortage::Connections => "connections",
        };
        self.evictions.add(1, &[label("cause", cause)]);
    }

    pub(crate) fn refusal_for_memory(&self) {
        self.memory_refusals.add(1, &[]);
    }

    pub(crate) fn gossip_exchange(&self, end: &'static str) {
        self.gossip_exchanges.add(1, &[label("end", end)]);
    }
}
