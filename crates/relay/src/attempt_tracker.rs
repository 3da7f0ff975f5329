//! Whether the targets ran any part of a message.

use std::sync::{Mutex, MutexGuard, PoisonError};

use egret_model::Ran;

#[derive(Debug, Default)]
struct Entries {
    attempts: u32,
    pending: u32,
    ended: Ran,
}

/// Counts the attempts of one message and what became of them.
///
/// The answer to a message must not say "not run" while an attempt is pending or
/// ended without a word from its target.
#[derive(Debug, Default)]
pub(crate) struct AttemptTracker {
    entries: Mutex<Entries>,
}

impl AttemptTracker {
    /// Notes that bytes may leave from now on, also where the task that sends them has yet to run.
    pub(crate) fn begin(&self) {
        self.lock().pending += 1;
    }

    /// Notes that bytes leave.
    pub(crate) fn sent(&self) {
        self.lock().attempts += 1;
    }

    /// Notes what became of an attempt that began.
    pub(crate) fn ended(&self, ran: Ran) {
        let mut entries = self.lock();
        entries.pending -= 1;
        entries.ended = entries.ended.combine(ran);
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.lock().attempts
    }

    pub(crate) fn ran(&self) -> Ran {
        let entries = self.lock();
        let pending = if entries.pending > 0 { Ran::Unknown } else { Ran::No };
        entries.ended.combine(pending)
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
