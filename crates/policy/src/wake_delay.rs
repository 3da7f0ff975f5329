//! How late a host itself runs a gather.

use std::time::{Duration, Instant};

/// The time between two wake-ups at which delays are measured, as a share of the gather's objective: several of them fit
/// into the delay that is allowed.
const INTERVAL_OBJECTIVE_SHARE: f64 = 1.0 / 16.0;
/// The bounds of that time. Shorter ones cost a small host processor time, longer ones miss short delays.
const INTERVAL_MIN: Duration = Duration::from_millis(5);
const INTERVAL_MAX: Duration = Duration::from_millis(50);

/// How late a gather's wake-ups are.
///
/// A gather that waits for its parts is due to be woken at the latest at fixed intervals. If it is woken later, the host
/// had no processor time for it, whatever the queues of the targets. The delays of wake-ups that bring a part add up, as
/// each makes the answer later; of those that bring none, the longest counts.
#[derive(Clone, Copy, Debug)]
pub struct WakeDelay {
    interval: Duration,
    due_at: Instant,
    longest: Duration,
    of_parts: Duration,
}

impl WakeDelay {
    /// Starts the measurement for a gather with this latency objective.
    #[must_use]
    pub fn start(now: Instant, objective: Duration) -> Self {
        let interval = objective.mul_f64(INTERVAL_OBJECTIVE_SHARE).clamp(INTERVAL_MIN, INTERVAL_MAX);
        Self { interval, due_at: now + interval, longest: Duration::ZERO, of_parts: Duration::ZERO }
    }

    /// Returns when the gather is due to be woken at the latest.
    #[must_use]
    pub fn due_at(&self) -> Instant {
        self.due_at
    }

    /// Records that the gather was woken, by a part or by its timer.
    pub fn record(&mut self, now: Instant, has_part: bool) {
        if now < self.due_at {
            return;
        }
        let delay = now.saturating_duration_since(self.due_at);
        self.due_at = now + self.interval;
        self.longest = self.longest.max(delay);
        if has_part {
            self.of_parts += delay;
        }
    }

    /// Returns the delay of the gather so far.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.longest.max(self.of_parts)
    }
}
