//! What every daemon offers its operators.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use egret_events::Journal;
use egret_wire::{EVENTS_PATH, LIVE_PATH, METRICS_PATH, READY_PATH};

use crate::{HttpRequest, Metrics, Reply};

/// Liveness, readiness, metrics and events of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Ops {
    /// The process's events.
    pub journal: Journal,
    /// The process's metrics.
    pub metrics: Metrics,
    ready: Arc<AtomicBool>,
    shutting_down: Arc<AtomicBool>,
}

impl Ops {
    /// Creates the operators' side of a process that is not ready yet.
    #[must_use]
    pub fn new(journal: Journal) -> Self {
        Self { journal, metrics: Metrics::open(), ready: Arc::default(), shutting_down: Arc::default() }
    }

    /// Tells the balancer whether to send work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
    }

    /// Tells the balancer for good that no more work should come.
    pub fn start_shutdown(&self) {
        self.shutting_down.store(true, Ordering::SeqCst);
    }

    /// Tells whether the process is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }

    /// Tells whether the process takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst) && !self.is_shutting_down()
    }

    /// Answers the operators' paths; `None` means that the path is another one.
    #[must_use]
    pub fn respond(&self, call: &HttpRequest) -> Option<Reply> {
        let reply = match call.path.as_str() {
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
