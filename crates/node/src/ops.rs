//! The endpoints for operators that every daemon serves.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use egret_events::Journal;
use egret_wire::{EVENTS_PATH, LIVE_PATH, METRICS_PATH, READY_PATH};

use crate::{HttpRequest, Metrics, Reply};

/// The liveness, readiness, metrics and events of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Ops {
    /// The event journal of the process.
    pub journal: Journal,
    /// The metrics of the process.
    pub metrics: Metrics,
    ready: Arc<AtomicBool>,
    shutting_down: Arc<AtomicBool>,
}

impl Ops {
    /// Creates the operator endpoints of a process that is not ready yet.
    #[must_use]
    pub fn new(journal: Journal) -> Self {
        Self { journal, metrics: Metrics::open(), ready: Arc::default(), shutting_down: Arc::default() }
    }

    /// Sets what the readiness check reports to the load balancer, until shutdown starts.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
    }

    /// Makes the readiness check fail from now on, so that the load balancer sends no more work.
    pub fn start_shutdown(&self) {
        self.shutting_down.store(true, Ordering::SeqCst);
    }

    /// Returns whether the process is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }

    /// Returns whether the process takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst) && !self.is_shutting_down()
    }

    /// Answers a request for an operator endpoint; returns `None` for all other paths.
    #[must_use]
    pub fn respond(&self, request: &HttpRequest) -> Option<Reply> {
        let reply = match request.path.as_str() {
            LIVE_PATH => Reply::text(200, "live\n"),
            READY_PATH if self.is_ready() => Reply::text(200, "ready\n"),
            READY_PATH => Reply::text(503, "not ready\n"),
            METRICS_PATH => Reply::text(200, self.metrics.render()),
            EVENTS_PATH => Reply::json(200, &self.journal.events()),
            _ => return None,
        };
        Some(reply)
    }
}
