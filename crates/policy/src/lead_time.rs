//! How long before the latency objective an answer must be made for its caller to receive it in time.

use std::time::Duration;

use crate::LatencyWindow;

/// The one-way network latency to callers while none is measured: an early answer lacks a part or two,
/// a late one loses nearly all of its value, so callers are assumed to be as far as within one region.
const DEFAULT_ONE_WAY: Duration = Duration::from_millis(3);
/// Callers that spent more than this before they sent a request had another reason, such as a retry.
const SETUP_TIME_MAX: Duration = Duration::from_millis(60);
/// Callers are at different distances; answers to this share of them must be in time.
const ONE_WAY_QUANTILE: f64 = 0.7;
/// Measured callers that are needed before the measured latency replaces the default.
const SETUP_SAMPLES_MIN: usize = 4;
/// One-way latencies of a request on an open connection and of its answer.
const ONE_WAYS_OF_EXCHANGE: u32 = 2;
/// One-way latencies of opening a connection.
const ONE_WAYS_OF_SETUP: u32 = 2;
/// How much longer an answer takes that is made at its due time than one whose parts are complete:
/// timers fire up to a millisecond late, and the parts are merged after that.
const TIMER_DELAY: Duration = Duration::from_millis(2);
/// The processor time of sending an answer, in thousandths of a core times milliseconds.
const SEND_MILLICORE_MS: u64 = 800;
/// The least and the greatest send delay that are assumed before any is measured.
const DEFAULT_SEND_DELAY_MIN: Duration = Duration::from_millis(3);
const DEFAULT_SEND_DELAY_MAX: Duration = Duration::from_millis(10);
/// The share of answers that must be sent in time.
const SEND_DELAY_QUANTILE: f64 = 0.97;
/// The greatest send delay that counts; a longer one has another cause.
const SEND_DELAY_MAX: Duration = Duration::from_millis(40);
/// The least rate assumed of the host's link, in bytes per second.
const LINK_BYTES_PER_S_MIN: f64 = 100e3;
/// The longest transfer that counts; an answer with a longer one misses its objective anyway.
const TRANSFER_MAX: Duration = Duration::from_millis(40);
/// Samples between two computations of the quantile, which sorts the window.
const RECOMPUTE_EVERY: usize = 4;
/// Samples with the default send delay in a new window; measured ones replace them over time.
const DEFAULT_SAMPLES: usize = 16;

/// What delays an answer between this host and its caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerDelivery {
    /// Whether the caller opened a connection for its request; the latency objective counts from before that.
    pub on_new_connection: bool,
    /// The time that the caller had spent when it sent its request, where its budget shows it.
    pub elapsed: Option<Duration>,
    /// The size of the answer in bytes.
    pub bytes: usize,
}

/// Learns how long this host takes to send an answer, and the network latency to its callers.
///
/// A fixed lead time does not fit all hosts: it is too short where a host with a tenth of a core waits
/// for its share, so that answers miss the objective by a few milliseconds, and too long on fast hosts,
/// where answers lose parts that would still have arrived. See docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct LeadTimeEstimator {
    /// The rate of the host's link.
    link_bytes_per_s: f64,
    send_delays: LatencyWindow,
    since_computed: usize,
    send_delay: Duration,
    /// The times that callers spent on opening connections.
    setup_times: LatencyWindow,
    /// The one-way network latency to callers.
    one_way: Duration,
}

impl LeadTimeEstimator {
    /// Creates the estimator of a host with this processor time, in thousandths of a core, and this link.
    #[must_use]
    pub fn new(millicores: u32, link_bytes_per_s: f64) -> Self {
        let estimate = Duration::from_micros(1000 * SEND_MILLICORE_MS / u64::from(millicores.max(1)));
        let send_delay = estimate.clamp(DEFAULT_SEND_DELAY_MIN, DEFAULT_SEND_DELAY_MAX);
        let mut send_delays = LatencyWindow::default();
        for _ in 0..DEFAULT_SAMPLES {
            send_delays.add(send_delay);
        }
        Self {
            link_bytes_per_s,
            send_delays,
            since_computed: 0,
            send_delay,
            setup_times: LatencyWindow::default(),
            one_way: DEFAULT_ONE_WAY,
        }
    }

    /// Records how long after its due time an answer was written.
    pub fn record_send_delay(&mut self, sample: Duration) {
        self.send_delays.add(sample.min(SEND_DELAY_MAX));
        self.since_computed += 1;
        if self.since_computed >= RECOMPUTE_EVERY {
            self.since_computed = 0;
            self.send_delay = self.send_delays.quantile(SEND_DELAY_QUANTILE).unwrap_or(self.send_delay);
        }
    }

    /// Records the time that a caller had spent when it sent its request on a connection
    /// that it had opened for it.
    pub fn record_connection_setup(&mut self, elapsed: Duration) {
        if elapsed <= SETUP_TIME_MAX {
            self.setup_times.add(elapsed);
            if self.setup_times.len() >= SETUP_SAMPLES_MIN {
                self.one_way =
                    self.setup_times.quantile(ONE_WAY_QUANTILE).unwrap_or(self.one_way) / ONE_WAYS_OF_SETUP;
            }
        }
    }

    /// Returns how long before the latency objective an answer must be made.
    #[must_use]
    pub fn estimate(&self, delivery: AnswerDelivery) -> Duration {
        let setup =
            if delivery.on_new_connection { self.one_way * ONE_WAYS_OF_SETUP } else { Duration::ZERO };
        let elapsed = delivery.elapsed.unwrap_or(setup);
        let transfer =
            Duration::from_secs_f64(delivery.bytes as f64 / self.link_bytes_per_s.max(LINK_BYTES_PER_S_MIN))
                .min(TRANSFER_MAX);
        elapsed + self.one_way * ONE_WAYS_OF_EXCHANGE + transfer + TIMER_DELAY + self.send_delay
    }
}
