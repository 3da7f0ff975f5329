//! The detection of pauses in which this process did not run.

use std::time::{Duration, Instant};

/// Ticks that are less late than this are not pauses.
const PAUSE_MIN: Duration = Duration::from_millis(1000);

/// Detects pauses of the process by late ticks of a control loop.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last_tick: Instant,
    interval: Duration,
}

impl PauseDetector {
    /// Creates a detector that expects a tick after every `interval`.
    #[must_use]
    pub fn new(now: Instant, interval: Duration) -> Self {
        Self { last_tick: now, interval }
    }

    /// Records a tick; returns how late it is where that is a pause.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(self.last_tick).saturating_sub(self.interval);
        self.last_tick = now;
        (late >= PAUSE_MIN).then_some(late)
    }
}
