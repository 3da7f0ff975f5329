//! The bounded buffer of a process's latest events.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use egret_model::QueryId;

use crate::{Clock, Code, Event, Stamp};

/// The number of events that a journal keeps; older ones are dropped.
pub const JOURNAL_EVENTS_MAX: usize = 8192;

/// Records events: keeps the latest ones in memory and writes each to the log.
///
/// Clones share the events.
#[derive(Clone, Debug)]
pub struct Journal {
    process: Arc<str>,
    clock: Clock,
    ring: Arc<Mutex<VecDeque<Event>>>,
}

impl Journal {
    /// Creates an empty journal for a process named `role@host`.
    #[must_use]
    pub fn new(process: impl AsRef<str>, clock: Clock) -> Self {
        Self { process: Arc::from(process.as_ref()), clock, ring: Arc::default() }
    }

    /// Returns the clock that stamps the events.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the process's name.
    #[must_use]
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Records an event and returns its stamp, to be sent with any message that it causes.
    pub fn record(&self, code: Code, query: impl Into<Option<QueryId>>, detail: impl Into<String>) -> Stamp {
        let event = Event {
            stamp: self.clock.tick(),
            process: self.process.to_string(),
            code,
            query: query.into(),
            detail: detail.into(),
        };
        log(&event);
        let stamp = event.stamp;
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == JOURNAL_EVENTS_MAX {
            ring.pop_front();
        }
        ring.push_back(event);
        stamp
    }

    /// Returns the events that are still kept, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}

fn log(event: &Event) {
    let number = event.code.number();
    let text = event.code.text();
    let detail = event.detail.as_str();
    if event.code.is_warning() {
        tracing::warn!(number, detail, "{text}");
    } else if event.code.is_per_query() {
        let query = event.query.map(tracing::field::display);
        tracing::debug!(number, query, detail, "{text}");
    } else {
        tracing::info!(number, detail, "{text}");
    }
}
