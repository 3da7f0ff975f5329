//! The work that a target still has to do, in time, as this host estimates it.

use std::time::{Duration, Instant};

/// The time constant of the decay of a target's report, as a multiple of the mean cost of a request: after
/// that, the load of the other targets says more about it than its own last report.
const REPORT_DECAY_FACTOR: f64 = 4.0;
/// The time constant of the decay of a report's weight in the mean over all targets. A host that sends one
/// request per second gets as many reports, and the mean needs several of them.
const POOL_DECAY: Duration = Duration::from_secs(2);
/// The weight of an idle system in that mean, in reports.
const POOL_IDLE_WEIGHT: f64 = 0.3;
/// The weight of all reports from which the mean counts as known.
const POOL_KNOWN_WEIGHT: f64 = 0.5;
/// The time constant of the decay of a target's mean: targets that are slow or far from others differ from
/// the mean over all of them for longer than one queue lasts.
const MEAN_DECAY: Duration = Duration::from_secs(5);
/// The greatest weight of that mean beside the mean over all targets, in reports.
const MEAN_WEIGHT_MAX: f64 = 4.0;
/// What each pending request adds to the wait, as a share of the mean cost, even where a slot seems free:
/// the estimate may be too low, and idle targets are preferred to busy ones.
const BUSY_SLOT_COST: f64 = 0.08;
/// The least share of its cost that a running request is expected to still take.
const REMAINING_SHARE_MIN: f64 = 0.25;
/// The time constant of the decay of a reported slowness.
const SLOWNESS_DECAY: Duration = Duration::from_secs(2);
/// Slowness up to this factor is within the spread of the requests' costs and counts as none.
const SLOWNESS_TOLERANCE: f64 = 1.5;

/// What a target reports of its load with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The requests that run or wait, without the answered one.
    pub pending: u32,
    /// The number of slots, if it is stated.
    pub slots: Option<u32>,
    /// The present service time as a multiple of the usual one, if it is stated.
    pub slowness: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct OwnExchange {
    began: Instant,
    cost: Duration,
    wait: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    /// The pending requests of other hosts.
    others: f64,
    slowness: Option<f64>,
}

/// Estimates the work pending at one target from this host's own exchanges and the target's reports.
///
/// Requests of other hosts are known by their number only, and count with the mean cost. A report ages
/// quickly; what is not known of the target any more is taken from the mean over all targets of its service.
#[derive(Clone, Debug)]
pub struct TargetBacklog {
    slots: f64,
    own: Vec<OwnExchange>,
    report: Option<Report>,
    /// The mean of the other hosts' pending requests over the reports, and its weight at the last one.
    mean_others: f64,
    mean_weight: f64,
    full_until: Option<Instant>,
}

impl TargetBacklog {
    /// Creates the state of a target without exchanges or reports.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            own: Vec::new(),
            report: None,
            mean_others: 0.0,
            mean_weight: 0.0,
            full_until: None,
        }
    }

    /// Records the start of an exchange with its expected cost and wait.
    pub fn begin(&mut self, now: Instant, cost: Duration, wait: Duration) {
        self.own.push(OwnExchange { began: now, cost, wait });
    }

    /// Records the end of the exchange that started at `began`.
    pub fn end(&mut self, began: Instant) {
        if let Some(at) = self.own.iter().position(|exchange| exchange.began == began) {
            self.own.swap_remove(at);
        }
    }

    /// Records a report. It came with the end of an exchange that is still recorded here.
    pub fn report(&mut self, now: Instant, report: LoadReport) {
        let own = self.own.len().saturating_sub(1) as f64;
        if let Some(slots) = report.slots.filter(|slots| *slots > 0) {
            self.slots = f64::from(slots);
        }
        let others = (f64::from(report.pending) - own).max(0.0);
        let weight = self.mean_weight(now);
        self.mean_others = (self.mean_others * weight + others) / (weight + 1.0);
        self.mean_weight = (weight + 1.0).min(MEAN_WEIGHT_MAX);
        self.report = Some(Report { at: now, others, slowness: report.slowness });
    }

    /// Records that the target refused a request because its queue was full. It stays full until a slot
    /// is expected to become free.
    pub fn shed(&mut self, now: Instant, mean_cost: Duration) {
        self.full_until = Some(now + mean_cost.div_f64(self.slots));
    }

    /// Returns how long the target's queue is expected to stay full; zero where it has room.
    #[must_use]
    pub fn full_left(&self, now: Instant) -> Duration {
        self.full_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Tells whether the target ever reported its load.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// Returns the estimated number of requests that run or wait at the target.
    #[must_use]
    pub fn pending(&self, now: Instant, mean_cost: Duration, pool: PooledLoad) -> f64 {
        self.others(now, mean_cost, pool) + self.own.len() as f64
    }

    /// Tells whether the target is estimated to have a free slot.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant, mean_cost: Duration, pool: PooledLoad) -> bool {
        self.pending(now, mean_cost, pool) + 0.5 < self.slots
    }

    /// Returns the factor by which the target's work takes longer than usual: as it reported, or else as
    /// this host measured it, where that is beyond the usual spread of the requests' costs.
    #[must_use]
    pub fn slowness(&self, now: Instant, measured: f64) -> f64 {
        let measured = (measured / SLOWNESS_TOLERANCE).max(1.0);
        let report = self.report.and_then(|report| Some((report.slowness?, report.at)));
        report.map_or(measured, |(slowness, at)| {
            measured + (slowness - measured) * decay(now, at, SLOWNESS_DECAY)
        })
    }

    /// Returns the work that is pending at the target, divided by its slots.
    #[must_use]
    pub fn pending_work(&self, now: Instant, mean_cost: Duration, pool: PooledLoad) -> Duration {
        self.all_work(now, mean_cost, self.others(now, mean_cost, pool)).div_f64(self.slots)
    }

    /// Returns the work of this host's exchanges and of `others` requests of other hosts.
    fn all_work(&self, now: Instant, mean_cost: Duration, others: f64) -> Duration {
        let own_work: Duration = self.own.iter().map(|exchange| exchange.remaining(now)).sum();
        own_work + mean_cost.mul_f64(others.max(0.0))
    }

    /// Returns how long one more request is expected to wait for a slot of a target that is not slow.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, mean_cost: Duration, pool: PooledLoad) -> Duration {
        let others = self.others(now, mean_cost, pool);
        let pending = others + self.own.len() as f64;
        if pending <= 0.0 {
            return Duration::ZERO;
        }
        let mean_work = self.all_work(now, mean_cost, others).div_f64(pending);
        let turns = (pending + 1.0 - self.slots).max(0.0) / self.slots;
        mean_work.mul_f64(turns) + mean_cost.mul_f64(BUSY_SLOT_COST * pending / self.slots)
    }

    fn others(&self, now: Instant, mean_cost: Duration, pool: PooledLoad) -> f64 {
        let pooled = pool.per_slot() * self.slots;
        let Some(report) = self.report else { return pooled };
        let weight = self.mean_weight(now);
        let usual = (self.mean_others * weight + pooled) / (weight + 1.0);
        let kept = decay(now, report.at, mean_cost.mul_f64(REPORT_DECAY_FACTOR));
        usual + (report.others - usual) * kept
    }

    fn mean_weight(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |report| self.mean_weight * decay(now, report.at, MEAN_DECAY))
    }
}

impl OwnExchange {
    fn remaining(&self, now: Instant) -> Duration {
        let ran = now.saturating_duration_since(self.began).saturating_sub(self.wait);
        self.cost.saturating_sub(ran).max(self.cost.mul_f64(REMAINING_SHARE_MIN))
    }
}

/// The mean load that other hosts cause at the targets of one service, from the latest reports of each.
#[derive(Clone, Copy, Debug, Default)]
pub struct PooledLoad {
    weight: f64,
    weighted_sum: f64,
}

impl PooledLoad {
    /// Adds the latest report of a target.
    pub fn add(&mut self, now: Instant, target: &TargetBacklog) {
        if let Some(report) = target.report {
            let weight = decay(now, report.at, POOL_DECAY);
            self.weight += weight;
            self.weighted_sum += weight * report.others / target.slots;
        }
    }

    /// Returns the mean number of other hosts' pending requests per slot.
    #[must_use]
    pub fn per_slot(&self) -> f64 {
        self.weighted_sum / (self.weight + POOL_IDLE_WEIGHT)
    }

    /// Tells whether enough recent reports are known to refuse requests by them.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.weight >= POOL_KNOWN_WEIGHT
    }
}

fn decay(now: Instant, since: Instant, time_constant: Duration) -> f64 {
    let constant = time_constant.max(Duration::from_millis(1));
    (-now.saturating_duration_since(since).div_duration_f64(constant)).exp()
}
