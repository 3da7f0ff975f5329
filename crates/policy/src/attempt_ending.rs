//! What becomes of an attempt whose answer no request waits for any more.

use std::time::{Duration, Instant};

/// How long such an attempt may go on, in service times: longer than nearly all attempts that have begun
/// to run take, also at a target that became twice as slow.
const COMPLETION_FACTOR: f64 = 4.0;
/// The longest time that it may go on. A caller may close its connection as soon as it has its answer, and
/// its work at targets must end within half a second after that.
const COMPLETION_TIME_MAX: Duration = Duration::from_millis(400);

/// An attempt that was sent to a target, with what was expected of it then.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether the target seemed to have a free slot for it.
    pub had_free_slot: bool,
    /// How long the target was expected to work on it.
    pub service_time: Duration,
    /// How long the target was expected to take until its answer, with the time in its queue.
    pub expected_latency: Duration,
}

/// What becomes of an attempt whose answer no request waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// It is cancelled, which closes its connection.
    Cancel,
    /// It may complete until this time, so that its connection can be used again.
    CompleteUntil(Instant),
}

impl SentAttempt {
    /// Decides what becomes of the attempt; `deadline` is that of its request.
    ///
    /// Responds to the load of targets: closing the connection of an attempt that runs wastes its work, and
    /// the connection that replaces it occupies a slot as long as some requests do. An attempt that is still
    /// queued has cost its target nothing yet, so that its slot is worth more than its connection.
    #[must_use]
    pub fn ending(&self, now: Instant, deadline: Instant) -> AttemptEnding {
        let until = now + self.service_time.mul_f64(COMPLETION_FACTOR).min(COMPLETION_TIME_MAX);
        let until = until.min(deadline);
        if until > now && self.is_likely_running(now) {
            AttemptEnding::CompleteUntil(until)
        } else {
            AttemptEnding::Cancel
        }
    }

    /// Tells whether the target has likely begun to work on the attempt: it had a free slot, or the
    /// expected end is at most one service time away. An attempt that was queued and is overdue by more
    /// found a longer queue than was known, and likely still waits in it.
    fn is_likely_running(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.sent_at);
        let until_end = self.expected_latency.abs_diff(age);
        self.had_free_slot || until_end <= self.service_time
    }
}
