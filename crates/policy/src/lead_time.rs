//! How long before the goal an answer has to be made, for its caller to have it by the goal.

use std::time::Duration;

use crate::LatencyWindow;

/// Callers' way before anything is known of it: an answer that is early loses a part or two, one
/// that is late loses nearly all of its worth, so callers are taken to be as far as in one region.
const UNKNOWN_WAY: Duration = Duration::from_millis(3);
/// Callers that spent more than this on their way in had another reason.
const CALLER_SPENT_MAX: Duration = Duration::from_millis(60);
/// Callers are at different distances; answers to most of them are to be in time.
const WAY_QUANTILE: f64 = 0.7;
/// Callers whose distance shows, before it is believed.
const WAYS_MIN: usize = 4;
/// Ways of a request on a connection that was open, and of its answer.
const WAYS_ON_OPEN: u32 = 2;
/// Ways of opening a connection.
const WAYS_OF_OPENING: u32 = 2;
/// What an answer that is made at its moment takes longer than one whose parts are all in: timers
/// fire up to a millisecond late, and the parts are merged after that.
const AT_MOMENT_LAG: Duration = Duration::from_millis(2);
/// Processor time of passing an answer on, in thousandths of a core times milliseconds.
const PASS_ON_MILLICORE_MS: u64 = 800;
/// What a host needs to pass an answer on at least, and at most before anything is known.
const UNKNOWN_MIN: Duration = Duration::from_millis(3);
const UNKNOWN_MAX: Duration = Duration::from_millis(10);
/// The share of answers that is to be in time.
const IN_TIME_QUANTILE: f64 = 0.97;
/// Passing on is never taken to need more: what is later is another fault.
const PASS_ON_MAX: Duration = Duration::from_millis(40);
/// The slowest link that is believed, in bytes a second.
const LINK_MIN: f64 = 100e3;
/// An answer that takes longer on the link misses its goal anyway.
const TRANSFER_MAX: Duration = Duration::from_millis(40);
/// Samples between two computations of the quantile, which sorts the window.
const RECOMPUTE_EVERY: usize = 4;
/// Samples that count as the unknown host's time until real ones take their place.
const UNKNOWN_SAMPLES: usize = 16;

/// What an answer passes on its way out of a host, besides the host itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerDelivery {
    /// Whether the caller opened the connection for its request: the goal counts from before that.
    pub on_new_connection: bool,
    /// What the caller had spent of its time when its request left, where that shows.
    pub elapsed: Option<Duration>,
    /// Bytes of the answer.
    pub bytes: usize,
}

/// Learns how long this host takes to pass an answer on, and how far its callers are.
///
/// Answers the load of hosts with a tenth of a core that wait for their share: a fixed
/// allowance is too short there, so that answers miss the goal by a few milliseconds, and too
/// long on quick hosts, where it costs parts that would still have come. See docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct LeadTimeEstimator {
    /// Bytes a second of the host's link.
    link: f64,
    samples: LatencyWindow,
    since_computed: usize,
    pass_on: Duration,
    /// What callers spent on opening connections.
    openings: LatencyWindow,
    way: Duration,
}

impl LeadTimeEstimator {
    /// Creates the state of a host with so many thousandths of a core, and a link of so many bytes
    /// a second.
    #[must_use]
    pub fn new(millicores: u32, link_bytes_per_s: f64) -> Self {
        let unknown = Duration::from_micros(1000 * PASS_ON_MILLICORE_MS / u64::from(millicores.max(1)));
        let pass_on = unknown.clamp(UNKNOWN_MIN, UNKNOWN_MAX);
        let mut samples = LatencyWindow::default();
        for _ in 0..UNKNOWN_SAMPLES {
            samples.add(pass_on);
        }
        Self {
            link: link_bytes_per_s,
            samples,
            since_computed: 0,
            pass_on,
            openings: LatencyWindow::default(),
            way: UNKNOWN_WAY,
        }
    }

    /// Adds how long an answer took from the moment at which it was due until it was written.
    pub fn record_send_delay(&mut self, sample: Duration) {
        self.samples.add(sample.min(PASS_ON_MAX));
        self.since_computed += 1;
        if self.since_computed >= RECOMPUTE_EVERY {
            self.since_computed = 0;
            self.pass_on = self.samples.quantile(IN_TIME_QUANTILE).unwrap_or(self.pass_on);
        }
    }

    /// Takes what a caller had spent that opened a connection for its request.
    pub fn record_connection_setup(&mut self, spent: Duration) {
        if spent <= CALLER_SPENT_MAX {
            self.openings.add(spent);
            if self.openings.len() >= WAYS_MIN {
                self.way = self.openings.quantile(WAY_QUANTILE).unwrap_or(self.way) / WAYS_OF_OPENING;
            }
        }
    }

    /// Returns how long before the goal an answer has to be made.
    #[must_use]
    pub fn estimate(&self, way: AnswerDelivery) -> Duration {
        let opening = if way.on_new_connection { self.way * WAYS_OF_OPENING } else { Duration::ZERO };
        let before = way.elapsed.unwrap_or(opening);
        let transfer = Duration::from_secs_f64(way.bytes as f64 / self.link.max(LINK_MIN)).min(TRANSFER_MAX);
        before + self.way * WAYS_ON_OPEN + transfer + AT_MOMENT_LAG + self.pass_on
    }
}
