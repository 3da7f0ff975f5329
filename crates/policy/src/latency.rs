//! Recent latencies of one service or replica.

use std::time::Duration;

/// The number of latest samples that quantiles are computed from.
const WINDOW_SAMPLES: usize = 128;
/// The weight of a new sample in the EWMA.
const EWMA_WEIGHT: f64 = 0.1;

/// Recent latencies with their moving mean and quantiles.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<Duration>,
    next: usize,
    mean_secs: Option<f64>,
}

impl LatencyWindow {
    /// Adds a sample.
    pub fn add(&mut self, latency: Duration) {
        let secs = latency.as_secs_f64();
        let mean = self.mean_secs.unwrap_or(secs);
        self.mean_secs = Some(mean + EWMA_WEIGHT * (secs - mean));
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(latency);
        } else {
            self.samples[self.next] = latency;
        }
        self.next = (self.next + 1) % WINDOW_SAMPLES;
    }

    /// Returns the number of samples in the window.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Tells whether the window has no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Returns the exponentially weighted moving average; zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs.unwrap_or(0.0))
    }

    /// Returns a quantile of the samples in the window, `q` from 0 to 1.
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
