//! Log lines about a shortage, at most one a second.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};

use crate::{clock::now, core::lock};

/// The minimum time between two log lines of the same kind of shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the log lines of a shortage, which may affect thousands of connections or answers in a second.
#[derive(Debug, Default)]
pub(crate) struct ShortageLog {
    logged_at: Mutex<Option<Instant>>,
    affected: AtomicUsize,
}

impl ShortageLog {
    /// Counts one affected thing, of the kind that `what` names in the plural, and logs the count if a line is due.
    pub(crate) fn note(&self, code: Code, what: &str) {
        self.affected.fetch_add(1, Ordering::Relaxed);
        let now = now();
        let mut logged_at = lock(&self.logged_at);
        if logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL) {
            *logged_at = Some(now);
            let affected = self.affected.swap(0, Ordering::Relaxed);
            log_event(code, "", &format!("{affected} {what} since the last such line"));
        }
    }
}
