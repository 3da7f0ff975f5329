//! How long before the goal an answer has to be made, for its caller to have it by the goal.

use std::time::Duration;

use crate::LatencyWindow;

/// The farthest callers of the users' sites, one way.
const CALLER_WAY: Duration = Duration::from_millis(3);
/// Ways of a request on a connection that was open, and of its answer.
const WAYS_ON_OPEN: u32 = 2;
/// Ways of a request whose caller first opened a connection, and of its answer.
const WAYS_ON_NEW: u32 = 4;
/// Processor time of passing an answer on, in thousandths of a core times milliseconds.
const PASS_ON_MILLICORE_MS: u64 = 600;
/// What a host needs to pass an answer on at least, and at most before anything is known.
const UNKNOWN_MIN: Duration = Duration::from_millis(2);
const UNKNOWN_MAX: Duration = Duration::from_millis(8);
/// The share of answers that is to be in time.
const IN_TIME_QUANTILE: f64 = 0.9;
/// Passing on is never taken to need more: what is later is another fault.
const PASS_ON_MAX: Duration = Duration::from_millis(40);
/// Samples between two computations of the quantile, which sorts the window.
const RECOMPUTE_EVERY: usize = 4;
/// Samples that count as the unknown host's time until real ones take their place.
const UNKNOWN_SAMPLES: usize = 16;

/// Learns how long this host takes to pass an answer on.
///
/// Answers the load of hosts with a tenth of a core that wait for their share: a fixed
/// allowance is too short there, so that answers miss the goal by a few milliseconds, and too
/// long on quick hosts, where it costs parts that would still have come. See docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct ReturnPath {
    samples: LatencyWindow,
    since_computed: usize,
    pass_on: Duration,
}

impl ReturnPath {
    /// Creates the state of a host with so many thousandths of a core, of which nothing is known.
    #[must_use]
    pub fn new(millicores: u32) -> Self {
        let unknown = Duration::from_millis(PASS_ON_MILLICORE_MS / u64::from(millicores.max(1)));
        let pass_on = unknown.clamp(UNKNOWN_MIN, UNKNOWN_MAX);
        let mut samples = LatencyWindow::default();
        for _ in 0..UNKNOWN_SAMPLES {
            samples.add(pass_on);
        }
        Self { samples, since_computed: 0, pass_on }
    }

    /// Adds how long an answer took from the moment at which it was due until it was written.
    pub fn add(&mut self, sample: Duration) {
        self.samples.add(sample.min(PASS_ON_MAX));
        self.since_computed += 1;
        if self.since_computed >= RECOMPUTE_EVERY {
            self.since_computed = 0;
            self.pass_on = self.samples.quantile(IN_TIME_QUANTILE).unwrap_or(self.pass_on);
        }
    }

    /// Returns how long before the goal an answer has to be made.
    ///
    /// `is_on_new` tells that the caller opened the connection for its request: the goal counts
    /// from before that.
    #[must_use]
    pub fn margin(&self, is_on_new: bool) -> Duration {
        let ways = if is_on_new { WAYS_ON_NEW } else { WAYS_ON_OPEN };
        CALLER_WAY * ways + self.pass_on
    }
}
