//! Recent latencies of one service or replica.

use std::time::Duration;

const WINDOW: usize = 128;
const MEAN_WEIGHT: f64 = 0.1;

/// Remembers recent latencies for a mean and for quantiles.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<Duration>,
    next: usize,
    mean_secs: Option<f64>,
}

impl LatencyWindow {
    /// Adds a latency.
    pub fn add(&mut self, latency: Duration) {
        let secs = latency.as_secs_f64();
        let mean = self.mean_secs.unwrap_or(secs);
        self.mean_secs = Some(mean + MEAN_WEIGHT * (secs - mean));
        if self.samples.len() < WINDOW {
            self.samples.push(latency);
        } else {
            self.samples[self.next] = latency;
        }
        self.next = (self.next + 1) % WINDOW;
    }

    /// Returns the number of remembered samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Tells whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Returns the moving mean; zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs.unwrap_or(0.0))
    }

    /// Returns a quantile of the remembered samples, `q` from 0 to 1.
    #[must_use]
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        if self.samples.is_empty() {
            return None;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() - 1) as f64 * q).round() as usize;
        Some(sorted[at])
    }
}
