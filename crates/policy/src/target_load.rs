//! The load and slowness of one target, as this host estimates them.

use std::time::{Duration, Instant};

/// How an exchange with a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The target answered.
    Answered,
    /// The target failed, or its answer never came.
    Failed,
    /// The target refused the request because it had no free slot.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// The exchange was cancelled because nobody waits for its answer any more.
    Abandoned,
    /// The target answered, but the latency must not count as a sample.
    Untimed,
}

impl ExchangeEnd {
    /// Returns the same end without its latency sample.
    #[must_use]
    pub fn without_latency(self) -> Self {
        match self {
            Self::Answered | Self::Abandoned => Self::Untimed,
            other => other,
        }
    }
}

/// The weight of a new sample in the EWMA of the slowness.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.3;
/// The slowness of a target without samples, where no other target gives a better prior.
const DEFAULT_SLOWNESS: f64 = 1.0;
/// The time constant of the decay of the slowness: without a new sample, two thirds of it are
/// forgotten after this time.
const SLOWNESS_DECAY: Duration = Duration::from_secs(2);
/// The time constant of the decay of a load report, as a multiple of the typical latency: two thirds of
/// it are forgotten after this time. What was running then has ended, and the load from other hosts
/// changes as quickly.
const REPORT_DECAY_FACTOR: f64 = 4.0;
/// The least time constant of that decay: the transfer of a report alone takes a few milliseconds.
const REPORT_DECAY_MIN: Duration = Duration::from_millis(5);
/// An exchange is overdue once it takes this many times its typical latency.
const OVERDUE_FACTOR: f64 = 2.5;
/// How much later a target that just failed counts as completing a request, as a multiple; this decays as
/// the slowness does. A request that fails costs a retry, and retries have a budget.
const FAILURE_FACTOR: f64 = 3.0;
/// Consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// How long a target is ejected the first time; each further time doubles it.
const EJECTION_FIRST: Duration = Duration::from_millis(500);
const EJECTION_DOUBLINGS_MAX: u32 = 4;
/// What each pending request adds to the cost of another one, even where both have a slot, so that
/// idle targets are preferred to busy ones.
const BUSY_SLOT_COST: f64 = 0.08;
/// Pending requests that are assumed at a target that shed one, as a multiple of its slots.
const SHED_PENDING_FACTOR: f64 = 6.0;
/// How long a target is ejected after it shed a request.
const SHED_EJECTION: Duration = Duration::from_millis(40);
/// The longest backoff that a target can ask for.
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// The jitter of a backoff, as a share of it: hosts return to the target at different times.
const BACKOFF_JITTER: f64 = 0.25;
/// The extra cost of a target right after its backoff, as a multiple of its cost, so that its load
/// grows gradually (slow start).
const SLOW_START_COST: f64 = 3.0;
/// How long the slow start takes; after that, the target costs as much as any other.
const SLOW_START_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Exchange {
    started_at: Instant,
    typical_latency: Duration,
    /// The queue factor at its start: how much longer than on an idle target it was expected to take,
    /// for the requests that were ahead of it.
    queue_factor: f64,
}

/// Estimates how busy and how slow one target is, from this host's exchanges and its reports.
///
/// The slowness is a latency divided by the typical latency of that kind of request, so that cheap and
/// expensive requests share one estimate. An overdue exchange counts before it ends: a target that
/// pauses gets no further work until it answers.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    slots: f64,
    slowness: f64,
    sampled_at: Option<Instant>,
    exchanges: Vec<Exchange>,
    /// Pending requests in the latest load report.
    reported: f64,
    reported_at: Option<Instant>,
    report_decay: Duration,
    /// Failed exchanges since the last answer or the last ejection.
    failures: u32,
    /// Whether an exchange failed since the last answer.
    has_failed: bool,
    /// When an exchange last failed, unless the target answered since.
    failed_at: Option<Instant>,
    /// Ejections since the last answer.
    ejections: u32,
    ejected_until: Option<Instant>,
    backoff_until: Option<Instant>,
}

impl TargetLoad {
    /// Creates the state of a target without samples or reports.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            slowness: DEFAULT_SLOWNESS,
            sampled_at: None,
            exchanges: Vec::new(),
            reported: 0.0,
            reported_at: None,
            report_decay: Duration::ZERO,
            failures: 0,
            has_failed: false,
            failed_at: None,
            ejections: 0,
            ejected_until: None,
            backoff_until: None,
        }
    }

    /// Records the start of an exchange whose typical latency is `typical_latency`.
    pub fn begin(&mut self, now: Instant, typical_latency: Duration) {
        let queue_factor = self.queue_factor(now);
        self.exchanges.push(Exchange { started_at: now, typical_latency, queue_factor });
    }

    /// Records the end of the exchange that started at `began`.
    pub fn end(&mut self, now: Instant, began: Instant, end: ExchangeEnd) {
        let Some(at) = self.exchanges.iter().position(|exchange| exchange.started_at == began) else {
            return;
        };
        let exchange = self.exchanges.swap_remove(at);
        let sample =
            ratio(now.saturating_duration_since(began), exchange.typical_latency) / exchange.queue_factor;
        match end {
            ExchangeEnd::Answered | ExchangeEnd::Untimed => self.has_failed = false,
            ExchangeEnd::Failed | ExchangeEnd::Unreachable | ExchangeEnd::Shed => self.has_failed = true,
            ExchangeEnd::Abandoned => {}
        }
        match end {
            ExchangeEnd::Answered | ExchangeEnd::Untimed => self.failed_at = None,
            ExchangeEnd::Failed | ExchangeEnd::Unreachable => self.failed_at = Some(now),
            ExchangeEnd::Shed | ExchangeEnd::Abandoned => {}
        }
        match end {
            ExchangeEnd::Answered => {
                self.sample(now, sample);
                self.failures = 0;
                self.ejections = 0;
            }
            ExchangeEnd::Failed => {
                self.failures += 1;
                if self.failures >= EJECT_AFTER_FAILURES {
                    self.eject(now);
                }
            }
            ExchangeEnd::Unreachable => self.eject(now),
            ExchangeEnd::Shed => {
                self.ejected_until = self.ejected_until.max(Some(now + SHED_EJECTION));
                let requests = self.reported.max(self.slots * SHED_PENDING_FACTOR);
                self.set_reported(now, requests, exchange.typical_latency);
            }
            // The answer would have taken longer than this.
            ExchangeEnd::Abandoned if sample > self.slowness => self.sample(now, sample),
            ExchangeEnd::Abandoned => {}
            ExchangeEnd::Untimed => (self.failures, self.ejections) = (0, 0),
        }
    }

    /// Records a target's load report: the requests that run or wait there.
    ///
    /// The report came with the answer to a request whose typical latency is `typical_latency`.
    pub fn report(&mut self, now: Instant, requests: u32, typical_latency: Duration) {
        self.set_reported(now, f64::from(requests), typical_latency);
    }

    fn set_reported(&mut self, now: Instant, requests: f64, typical_latency: Duration) {
        self.reported = requests;
        self.reported_at = Some(now);
        self.report_decay = typical_latency.mul_f64(REPORT_DECAY_FACTOR).max(REPORT_DECAY_MIN);
    }

    /// Sends the target no work for the backoff that it asked for.
    ///
    /// A later request for a shorter backoff does not shorten this one. `random`, from 0 to 1, draws
    /// the jitter, so that hosts return at different times.
    pub fn back_off(&mut self, now: Instant, wanted: Duration, random: f64) {
        let wanted = wanted.min(BACKOFF_MAX);
        let until = now + wanted + wanted.mul_f64(BACKOFF_JITTER * random);
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Returns what is left of the target's backoff; zero where it takes work.
    #[must_use]
    pub fn backoff_left(&self, now: Instant) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes over the backoff from an earlier record of the same run of the target.
    pub fn inherit_backoff(&mut self, earlier: &Self) {
        self.backoff_until = self.backoff_until.max(earlier.backoff_until);
    }

    /// Forgets failures and slowness: they were those of this host's links. Backoffs that the target asked
    /// for stay.
    pub fn forget_failures(&mut self) {
        self.slowness = DEFAULT_SLOWNESS;
        self.sampled_at = None;
        (self.failures, self.ejections) = (0, 0);
        self.has_failed = false;
        self.failed_at = None;
        self.ejected_until = None;
    }

    /// Returns the number of exchanges in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.exchanges.len()
    }

    /// Returns the expected latency of one more request, in typical latencies.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        self.cost_with_prior(now, DEFAULT_SLOWNESS)
    }

    /// Returns the cost with another target's slowness as the prior for what is not known of this one.
    ///
    /// Guards against the starvation of a new replica of a lightly loaded service: beside a target that has
    /// become quicker than is typical, one without samples would get no work, and so never a sample. A
    /// target that failed since its last answer gets the default prior, so that it does not look as quick.
    #[must_use]
    pub fn cost_with_prior(&self, now: Instant, prior: f64) -> f64 {
        let prior = if self.has_failed { DEFAULT_SLOWNESS } else { prior };
        self.slowness_with_prior(now, prior) * self.queue_factor(now) * self.slow_start_factor(now)
    }

    /// Returns the factor by which the cost is greater soon after a backoff.
    #[must_use]
    pub fn slow_start_factor(&self, now: Instant) -> f64 {
        let Some(backoff_end) = self.backoff_until else { return 1.0 };
        let since_backoff = now.saturating_duration_since(backoff_end).min(SLOW_START_TIME);
        1.0 + SLOW_START_COST * (1.0 - since_backoff.div_duration_f64(SLOW_START_TIME))
    }

    /// Returns how much later the target counts as completing a request after a failure, as a multiple.
    #[must_use]
    pub fn failure_factor(&self, now: Instant) -> f64 {
        1.0 + FAILURE_FACTOR * decay(now, self.failed_at, SLOWNESS_DECAY)
    }

    /// Tells whether fewer requests are estimated at the target than it has slots.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant) -> bool {
        self.pending(now) < self.slots
    }

    fn queue_factor(&self, now: Instant) -> f64 {
        let pending = self.pending(now);
        let waits = (pending + 1.0 - self.slots).max(0.0) / self.slots;
        1.0 + waits + BUSY_SLOT_COST * pending
    }

    fn pending(&self, now: Instant) -> f64 {
        let own = self.exchanges.len() as f64;
        own.max(self.reported * decay(now, self.reported_at, self.report_decay))
    }

    /// Returns the estimated latency of the target in typical latencies, apart from queueing.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.slowness_with_prior(now, DEFAULT_SLOWNESS)
    }

    fn slowness_with_prior(&self, now: Instant, prior: f64) -> f64 {
        let kept = decay(now, self.sampled_at, SLOWNESS_DECAY);
        let remembered = prior + (self.slowness - prior) * kept;
        let age = |exchange: &Exchange| {
            ratio(now.saturating_duration_since(exchange.started_at), exchange.typical_latency)
                / exchange.queue_factor
        };
        let oldest = self.exchanges.iter().map(age).fold(0.0, f64::max);
        if oldest > OVERDUE_FACTOR { remembered.max(oldest) } else { remembered }
    }

    /// Tells whether the target is ejected, after failures or a shed request: work goes to another one
    /// where there is one.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn sample(&mut self, now: Instant, sample: f64) {
        let old = self.slowness(now);
        self.slowness = old + SLOWNESS_EWMA_WEIGHT * (sample - old);
        self.sampled_at = Some(now);
    }

    fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        self.ejected_until = Some(now + EJECTION_FIRST * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
    }
}

fn ratio(latency: Duration, typical_latency: Duration) -> f64 {
    const TYPICAL_LATENCY_MIN: Duration = Duration::from_millis(1);
    latency.as_secs_f64() / typical_latency.max(TYPICAL_LATENCY_MIN).as_secs_f64()
}

/// Returns what share of a value is left by exponential decay; zero where there is no value.
fn decay(now: Instant, since: Option<Instant>, time_constant: Duration) -> f64 {
    since.map_or(0.0, |at| {
        (-now.saturating_duration_since(at).as_secs_f64() / time_constant.as_secs_f64()).exp()
    })
}
