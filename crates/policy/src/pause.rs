//! Noticing that this process did not run for a while.

use std::time::{Duration, Instant};

const PAUSE_MIN: Duration = Duration::from_millis(1000);

/// Compares the ticks of a control loop with the time that passed.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last: Instant,
    interval: Duration,
}

impl PauseDetector {
    /// Expects a tick after every `interval`.
    #[must_use]
    pub fn new(now: Instant, interval: Duration) -> Self {
        Self { last: now, interval }
    }

    /// Returns for how long the process slept, where it did.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(self.last).saturating_sub(self.interval);
        self.last = now;
        (late >= PAUSE_MIN).then_some(late)
    }
}
