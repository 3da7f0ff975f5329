//! Tracks whether targets ran any part of a message.

use std::sync::{Mutex, MutexGuard, PoisonError};

use egret_model::Ran;

#[derive(Debug, Default)]
struct Counts {
    sent: u32,
    pending: u32,
    ended: Ran,
}

/// Counts the attempts of one message and combines whether their targets ran them.
///
/// The answer to a message must not say "not run" while an attempt is pending, or after
/// one ended without an answer from its target.
#[derive(Debug, Default)]
pub(crate) struct AttemptTracker {
    counts: Mutex<Counts>,
}

impl AttemptTracker {
    /// Records an attempt whose request may be sent from now on, even before its task first runs.
    pub(crate) fn record_start(&self) {
        self.lock().pending += 1;
    }

    /// Records that an attempt starts to send its request.
    pub(crate) fn record_sent(&self) {
        self.lock().sent += 1;
    }

    /// Records the end of a started attempt and whether its target ran it.
    pub(crate) fn record_end(&self, ran: Ran) {
        let mut counts = self.lock();
        counts.pending -= 1;
        counts.ended = counts.ended.combine(ran);
    }

    pub(crate) fn sent_attempts(&self) -> u32 {
        self.lock().sent
    }

    /// Returns whether any target ran any attempt; unknown while one is pending and none is known to have run.
    pub(crate) fn ran(&self) -> Ran {
        let counts = self.lock();
        let pending = if counts.pending > 0 { Ran::Unknown } else { Ran::No };
        counts.ended.combine(pending)
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
