//! How busy and how slow one target seems to this host.

use std::time::{Duration, Instant};

/// How an exchange with a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// With an answer of its own.
    Answered,
    /// With a failure, or without an answer.
    Failed,
    /// The target had no room.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// Nobody waits for it any more.
    Abandoned,
    /// With an answer of which the latency does not count.
    Untimed,
}

impl ExchangeEnd {
    /// Returns the end without what its latency tells.
    #[must_use]
    pub fn without_latency(self) -> Self {
        match self {
            Self::Answered | Self::Abandoned => Self::Untimed,
            other => other,
        }
    }
}

/// The weight of a new sample in the moving slowness.
const SAMPLE_WEIGHT: f64 = 0.3;
/// The slowness of a target that nothing is known of, where nothing is known of others either.
const UNKNOWN_SLOWNESS: f64 = 1.0;
/// After this time without a sample, two thirds of an old slowness are forgotten.
const SLOWNESS_LASTS: Duration = Duration::from_secs(2);
/// Two thirds of a load report are forgotten after so many usual latencies: what was running then
/// has ended, and other hosts' work changes as quickly.
const REPORT_LASTS_FACTOR: f64 = 4.0;
/// The way of a report alone takes a few milliseconds.
const REPORT_LASTS_MIN: Duration = Duration::from_millis(5);
/// An exchange is overdue when it takes so many times as long as usual.
const OVERDUE_FACTOR: f64 = 2.5;
/// Failures in a row after which a target is avoided.
const FAILURES_MAX: u32 = 3;
/// How long a target is avoided at first; each further time doubles it.
const AVOID_FIRST: Duration = Duration::from_millis(500);
const AVOID_DOUBLINGS_MAX: u32 = 4;
/// What a request in a slot of its own costs another one; tells idle targets from busy ones.
const BUSY_SLOT_COST: f64 = 0.08;
/// Requests that a target without room is taken to hold, as a multiple of its slots.
const SHED_QUEUE: f64 = 6.0;
/// How long a target without room is avoided.
const SHED_AVOID: Duration = Duration::from_millis(40);
/// The longest time for which a target's own word keeps work away from it.
const CLOSED_MAX: Duration = Duration::from_secs(300);
/// Hosts come back to a target that was closed at different times within this share of its time.
const REOPEN_SPREAD: f64 = 0.25;
/// A target that opens again costs so much more at first, so that its work grows gradually.
const REOPEN_COST: f64 = 3.0;
/// After this time an opened target costs as much as any other.
const REOPEN_LASTS: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Begun {
    at: Instant,
    usual: Duration,
    /// How much longer than alone it was to take, for the requests that were ahead.
    share: f64,
}

/// How busy and how slow one target seems to this host.
///
/// Latencies are compared with the usual one of their kind of request, so that cheap and
/// dear requests share one estimate. An exchange that is overdue counts at once: a target
/// that pauses gets no further work until it answers.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    slots: f64,
    slowness: f64,
    sampled_at: Option<Instant>,
    begun: Vec<Begun>,
    reported: f64,
    reported_at: Option<Instant>,
    report_lasts: Duration,
    failures: u32,
    /// Whether an exchange failed since the last answer.
    has_failed: bool,
    avoidances: u32,
    avoid_until: Option<Instant>,
    backoff_until: Option<Instant>,
}

impl TargetLoad {
    /// Creates the state of a target that nothing is known of.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            slowness: UNKNOWN_SLOWNESS,
            sampled_at: None,
            begun: Vec::new(),
            reported: 0.0,
            reported_at: None,
            report_lasts: Duration::ZERO,
            failures: 0,
            has_failed: false,
            avoidances: 0,
            avoid_until: None,
            backoff_until: None,
        }
    }

    /// Counts an exchange that begins and is expected to take `usual`.
    pub fn begin(&mut self, now: Instant, usual: Duration) {
        let share = self.queue_factor(now);
        self.begun.push(Begun { at: now, usual, share });
    }

    /// Takes the end of an exchange that began at `began`.
    pub fn end(&mut self, now: Instant, began: Instant, end: ExchangeEnd) {
        let Some(at) = self.begun.iter().position(|begun| begun.at == began) else { return };
        let begun = self.begun.swap_remove(at);
        let sample = ratio(now.saturating_duration_since(began), begun.usual) / begun.share;
        match end {
            ExchangeEnd::Answered | ExchangeEnd::Untimed => self.has_failed = false,
            ExchangeEnd::Failed | ExchangeEnd::Unreachable | ExchangeEnd::Shed => self.has_failed = true,
            ExchangeEnd::Abandoned => {}
        }
        match end {
            ExchangeEnd::Answered => {
                self.sample(now, sample);
                self.failures = 0;
                self.avoidances = 0;
            }
            ExchangeEnd::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_MAX {
                    self.avoid(now);
                }
            }
            ExchangeEnd::Unreachable => self.avoid(now),
            ExchangeEnd::Shed => {
                self.avoid_until = self.avoid_until.max(Some(now + SHED_AVOID));
                let requests = self.reported.max(self.slots * SHED_QUEUE);
                self.set_reported(now, requests, begun.usual);
            }
            // It would have taken longer than this.
            ExchangeEnd::Abandoned if sample > self.slowness => self.sample(now, sample),
            ExchangeEnd::Abandoned => {}
            ExchangeEnd::Untimed => (self.failures, self.avoidances) = (0, 0),
        }
    }

    /// Takes the target's report of the requests that it runs and that wait there.
    ///
    /// It came with an answer to a request that usually takes `usual`.
    pub fn report(&mut self, now: Instant, requests: u32, usual: Duration) {
        self.set_reported(now, f64::from(requests), usual);
    }

    fn set_reported(&mut self, now: Instant, requests: f64, usual: Duration) {
        self.reported = requests;
        self.reported_at = Some(now);
        self.report_lasts = usual.mul_f64(REPORT_LASTS_FACTOR).max(REPORT_LASTS_MIN);
    }

    /// Takes the target's word that it wants nothing from this host for so long.
    ///
    /// A later, shorter word shortens nothing. `random`, from 0 to 1, spreads the time at which
    /// hosts come back.
    pub fn back_off(&mut self, now: Instant, wanted: Duration, random: f64) {
        let wanted = wanted.min(CLOSED_MAX);
        let until = now + wanted + wanted.mul_f64(REOPEN_SPREAD * random);
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Returns how much longer the target wants nothing from this host; zero where it takes work.
    #[must_use]
    pub fn backoff_left(&self, now: Instant) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes over how long an earlier record of the same run is closed.
    pub fn inherit_backoff(&mut self, earlier: &Self) {
        self.backoff_until = self.backoff_until.max(earlier.backoff_until);
    }

    /// Returns the exchanges that have begun and not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.begun.len()
    }

    /// Returns how long one more request is likely to take, in usual latencies.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        self.cost_with_prior(now, UNKNOWN_SLOWNESS)
    }

    /// Returns the cost where what is not known of this target is taken to be like another one.
    ///
    /// Answers the load of a calm service with a new replica: beside one that has become quicker
    /// than usual, a target without samples would get no work, and never a sample. Of one that fails,
    /// nothing good is taken to be known.
    #[must_use]
    pub fn cost_with_prior(&self, now: Instant, slowness: f64) -> f64 {
        let slowness = if self.has_failed { UNKNOWN_SLOWNESS } else { slowness };
        self.slowness_with_prior(now, slowness) * self.queue_factor(now) * self.reopen_factor(now)
    }

    fn reopen_factor(&self, now: Instant) -> f64 {
        let Some(opened_at) = self.backoff_until else { return 1.0 };
        let open_for = now.saturating_duration_since(opened_at).min(REOPEN_LASTS);
        1.0 + REOPEN_COST * (1.0 - open_for.div_duration_f64(REOPEN_LASTS))
    }

    /// Tells whether a slot seems free.
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
        let own = self.begun.len() as f64;
        own.max(self.reported * faded(now, self.reported_at, self.report_lasts))
    }

    /// Returns how many times as long as usual the target takes.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.slowness_with_prior(now, UNKNOWN_SLOWNESS)
    }

    fn slowness_with_prior(&self, now: Instant, unknown: f64) -> f64 {
        let kept = faded(now, self.sampled_at, SLOWNESS_LASTS);
        let remembered = unknown + (self.slowness - unknown) * kept;
        let age = |begun: &Begun| ratio(now.saturating_duration_since(begun.at), begun.usual) / begun.share;
        let oldest = self.begun.iter().map(age).fold(0.0, f64::max);
        if oldest > OVERDUE_FACTOR { remembered.max(oldest) } else { remembered }
    }

    /// Tells whether work should go elsewhere, where it can.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn sample(&mut self, now: Instant, sample: f64) {
        let old = self.slowness(now);
        self.slowness = old + SAMPLE_WEIGHT * (sample - old);
        self.sampled_at = Some(now);
    }

    fn avoid(&mut self, now: Instant) {
        let doublings = self.avoidances.min(AVOID_DOUBLINGS_MAX);
        self.avoid_until = Some(now + AVOID_FIRST * 2_u32.pow(doublings));
        self.avoidances += 1;
        self.failures = 0;
    }
}

fn ratio(latency: Duration, usual: Duration) -> f64 {
    const USUAL_MIN: Duration = Duration::from_millis(1);
    latency.as_secs_f64() / usual.max(USUAL_MIN).as_secs_f64()
}

fn faded(now: Instant, since: Option<Instant>, lasts: Duration) -> f64 {
    since.map_or(0.0, |at| (-now.saturating_duration_since(at).as_secs_f64() / lasts.as_secs_f64()).exp())
}
