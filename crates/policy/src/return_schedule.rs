//! When callers that were refused may return.

use std::time::{Duration, Instant};

/// The time over which the rate of served requests is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The least rate that is assumed, in requests per second: a host that serves nothing measures no rate.
const RATE_MIN: f64 = 0.5;

/// Spreads the return of callers that were refused over time, at the rate at which requests are served.
///
/// Without it, all callers that are refused during an overload return together after the same short time
/// and are refused again.
///
/// ```
/// use std::time::{Duration, Instant};
/// use egret_policy::ReturnSchedule;
///
/// let (now, max) = (Instant::now(), Duration::from_secs(3));
/// let mut schedule = ReturnSchedule::default();
/// (0..20).for_each(|_| schedule.record_served(now));
/// let first = schedule.reserve(now, Duration::from_millis(100), max);
/// let second = schedule.reserve(now, Duration::from_millis(100), max);
/// assert_eq!(first, Duration::from_millis(100));
/// assert_eq!(second, Duration::from_millis(200));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    /// The requests that were served, decaying with [`RATE_WINDOW`].
    served: f64,
    served_at: Option<Instant>,
    /// When the next caller may return.
    next_at: Option<Instant>,
}

impl ReturnSchedule {
    /// Records a request that was sent to a target.
    pub fn record_served(&mut self, now: Instant) {
        self.served = self.served(now) + 1.0;
        self.served_at = Some(now);
    }

    /// Returns after what time one more refused caller may return: after `earliest` and the callers that were
    /// refused before it, at most after `latest`.
    pub fn reserve(&mut self, now: Instant, earliest: Duration, latest: Duration) -> Duration {
        let last_at = now + latest.max(earliest);
        let at = self.next_at.map_or(now + earliest, |next_at| next_at.max(now + earliest)).min(last_at);
        let per_s = (self.served(now) / RATE_WINDOW.as_secs_f64()).max(RATE_MIN);
        self.next_at = Some(at + Duration::from_secs_f64(1.0 / per_s));
        at.saturating_duration_since(now)
    }

    fn served(&self, now: Instant) -> f64 {
        self.served_at.map_or(0.0, |at| {
            self.served * (-now.saturating_duration_since(at).div_duration_f64(RATE_WINDOW)).exp()
        })
    }
}
