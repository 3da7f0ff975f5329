//! One gather on its way to a gatherer: whether another one is asked after a refusal.

use std::time::{Duration, Instant};

/// The share of its objective within which a gather may be refused; a later refusal is of little use to its caller.
const REFUSAL_OBJECTIVE_SHARE: f64 = 0.25;

/// The refusals of one gather: after the first one, one other gatherer is asked.
#[derive(Clone, Copy, Debug)]
pub struct RefusalRetry {
    is_enabled: bool,
    due_at: Instant,
    refused_after: Option<Duration>,
}

impl RefusalRetry {
    /// Starts with a gather that arrived at this time; `refused_after` is set if this host refused it.
    ///
    /// If it is not enabled, the first refusal is passed on.
    #[must_use]
    pub fn new(
        is_enabled: bool,
        arrived_at: Instant,
        objective: Duration,
        refused_after: Option<Duration>,
    ) -> Self {
        let due_at = arrived_at + objective.mul_f64(REFUSAL_OBJECTIVE_SHARE);
        Self { is_enabled, due_at, refused_after: refused_after.filter(|_| is_enabled) }
    }

    /// Returns after what time the caller may return, if one host refused the gather.
    #[must_use]
    pub fn refused_after(&self) -> Option<Duration> {
        self.refused_after
    }

    /// Returns whether a gatherer may be asked now.
    #[must_use]
    pub fn may_ask(&self, now: Instant) -> bool {
        self.refused_after.is_none() || now < self.due_at
    }

    /// Returns until when a refusal is prompt, if one host refused the gather.
    ///
    /// A connection to another gatherer is waited for until then, as a wait to no avail delays the refusal; and so is its
    /// acceptance, as a gather that was given up earlier can no longer be refused as not run.
    #[must_use]
    pub fn prompt_until(&self) -> Option<Instant> {
        self.refused_after.map(|_| self.due_at)
    }

    /// Records a refusal; returns the time after which the caller may return if it is passed on, or `None` if another
    /// gatherer is to be asked.
    pub fn refuse(&mut self, after: Duration) -> Option<Duration> {
        match self.refused_after {
            Some(first) => Some(first.min(after)),
            None if self.is_enabled => {
                self.refused_after = Some(after);
                None
            }
            None => Some(after),
        }
    }

    /// Records that a gatherer gave no answer; returns whether the refusal of another one is passed on.
    ///
    /// A gather that may have run can no longer be refused as not run.
    pub fn fail(&mut self, may_have_run: bool) -> bool {
        if may_have_run {
            self.is_enabled = false;
            self.refused_after = None;
        }
        self.refused_after.is_some()
    }
}
