//! Admission of whole queries over one index: start, queue or refuse.
//!
//! It answers a demand above what the targets can complete in time. A query that starts then makes all others late, and
//! its own parts may run in vain. See docs/design/query-admission.md.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use crate::{
    AdmissionQueue, ConcurrencyLimit, QueryRank, QueuedQuery, ReturnPromises, start_shares::StartShares,
};

/// The queueing delay at the targets, and the delay of this host, that are allowed, as a share of the tightest latency
/// objective on the index.
const ALLOWED_DELAY_SHARE: f64 = 0.25;
/// How long a query may wait before it starts, as a share of its objective: a refusal must come that early to be of use.
const WAIT_OBJECTIVE_SHARE: f64 = 0.25;
/// The share of the time that it has left after which a caller that was told to wait returns at the latest.
const RETURN_WITHIN_SHARE: f64 = 1.0 / 3.0;
/// The share of the targets, those with the shortest queues, that show how loaded the index is.
const COMMON_SHARE: f64 = 2.0 / 3.0;
/// The weight of a new sample in moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// The duration of a query before there are samples, as a share of its objective.
const INITIAL_DURATION_SHARE: f64 = 0.5;
/// How long a kind of query counts for the allowed delay after its last request.
const KIND_TTL: Duration = Duration::from_secs(10);
/// How fast the usual time budget of a kind of query falls where smaller ones arrive, as a share per request.
const BUDGET_DECAY: f64 = 0.01;

/// A query that arrives at the host that will run it.
#[derive(Clone, Copy, Debug)]
pub struct QueryArrival {
    /// Identifies the query at its host.
    pub id: u64,
    /// The priority of its route; 0 is the highest.
    pub priority: u32,
    /// The latency objective of its route.
    pub objective: Duration,
    /// The host at which its caller is connected.
    pub sender: IpAddr,
    /// When its caller's request arrived at the system.
    pub arrived_at: Instant,
    /// When its answer is due, to reach the caller within the objective.
    pub due_at: Instant,
    /// The time budget that its caller states.
    pub budget: Duration,
    /// Whether it must start now: another host may have started it before.
    pub must_start: bool,
}

/// What happens to a query that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryVerdict {
    /// It starts now.
    Start,
    /// It waits, at most until this time.
    Wait(Instant),
    /// It is refused; its caller may return after this time.
    Refuse(Duration),
}

/// What a query that ended says about the load of the targets and of this host.
#[derive(Clone, Copy, Debug)]
pub struct QueryEnd {
    /// The priority of its route.
    pub priority: u32,
    /// The latency objective of its route.
    pub objective: Duration,
    /// When it started.
    pub began_at: Instant,
    /// The queue that most of its targets had, as a multiple of their slots ([`common_queue`]); `None` if none
    /// reported one.
    pub queued_per_slot: Option<f64>,
    /// The typical service time of its parts.
    pub service_time: Duration,
    /// How late this host ran the query ([`crate::WakeDelay`]).
    pub host_delay: Duration,
}

/// The queries of the routes with one priority and objective, which admission does not tell apart.
#[derive(Clone, Copy, Debug)]
struct QueryKind {
    priority: u32,
    objective: Duration,
    last_arrival: Instant,
    /// The usual duration of such a query, in seconds.
    duration_s: f64,
    /// The time budget that its callers usually state, in seconds.
    budget_s: f64,
}

/// Admission of the queries that one host runs over one index.
#[derive(Clone, Debug, Default)]
pub struct QueryAdmission {
    limit: ConcurrencyLimit,
    queue: AdmissionQueue,
    shares: StartShares,
    returns: ReturnPromises,
    in_flight: usize,
    /// Sorted by priority and objective.
    kinds: Vec<QueryKind>,
    /// The typical service time of parts over all kinds of queries, in seconds.
    service_time_s: f64,
    duration_s: f64,
}

impl QueryAdmission {
    /// Decides about a query that arrives.
    pub fn offer(&mut self, now: Instant, query: QueryArrival) -> QueryVerdict {
        let kind = self.arrive(now, &query);
        let spent = Duration::from_secs_f64((kind.budget_s - query.budget.as_secs_f64()).max(0.0));
        let asked_at = query.arrived_at.checked_sub(spent).unwrap_or(query.arrived_at);
        let returning = self.returns.redeem(now, spent, asked_at);
        let rank = QueryRank { priority: query.priority, returning };
        let has_capacity = self.limit.allows(now, self.in_flight);
        let duration = Duration::from_secs_f64(kind.duration_s);
        // A query that takes longer than it has left would be refused rather than wait; an idle host would serve nobody.
        let is_urgent_on_idle_host = self.in_flight == 0 && now + duration > query.due_at;
        let may_start = || self.shares.may_start(now, rank) || is_urgent_on_idle_host;
        let is_within_share = || self.in_flight == 0 || self.queue.is_within_share(now, query.sender, rank);
        let is_first = has_capacity && self.queue.is_first(now, rank) && may_start() && is_within_share();
        if query.must_start || is_first {
            self.start(now, rank, query.sender);
            return QueryVerdict::Start;
        }
        if !has_capacity {
            self.shares.record_contention(now, rank);
        }
        let promptly = query.arrived_at + query.objective.mul_f64(WAIT_OBJECTIVE_SHARE);
        let in_time = query.due_at.checked_sub(duration).unwrap_or(now);
        let wait_until = promptly.min(in_time);
        // Room that is left to a sender whose query can't wait for it would stay idle.
        if !has_capacity && wait_until > now {
            self.queue.record_contention(now, query.sender, rank);
        }
        let left = query.budget.saturating_sub(now.saturating_duration_since(query.arrived_at));
        let queued = QueuedQuery {
            id: query.id,
            rank,
            sender: query.sender,
            queued_at: now,
            wait_until,
            asked_at,
            return_within: left.mul_f64(RETURN_WITHIN_SHARE),
        };
        if self.expected_start(now, self.queue.ahead_of(&queued)) > wait_until {
            return QueryVerdict::Refuse(self.refuse(now, &queued));
        }
        self.queue.push(queued);
        QueryVerdict::Wait(wait_until)
    }

    fn start(&mut self, now: Instant, rank: QueryRank, sender: IpAddr) {
        self.in_flight += 1;
        self.queue.record_start(now, sender);
        self.shares.record_start(now, rank);
    }

    /// Takes the queries out of the queue that start now.
    pub fn start_queued(&mut self, now: Instant) -> Vec<u64> {
        let mut started = Vec::new();
        while self.limit.allows(now, self.in_flight) {
            let (shares, is_idle) = (&self.shares, self.in_flight == 0);
            let owed = self.queue.pop(now, is_idle, |rank| shares.is_owed(now, rank));
            let Some(query) =
                owed.or_else(|| self.queue.pop(now, is_idle, |rank| shares.may_start(now, rank)))
            else {
                break;
            };
            self.start(now, query.rank, query.sender);
            started.push(query.id);
        }
        started
    }

    /// Returns when to call [`Self::start_queued`] again although no query ends before: the limit is below one.
    #[must_use]
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.pause_end().filter(|until| !self.queue.is_empty() && *until > now)
    }

    /// Removes a query from the queue whose caller no longer waits; returns whether it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Refuses a query that has waited for too long; returns when its caller may return, or `None` if it has started.
    pub fn expire(&mut self, now: Instant, id: u64) -> Option<Duration> {
        self.queue.remove(id).map(|query| self.refuse(now, &query))
    }

    /// Records the end of a query that started; `None` if it was abandoned.
    pub fn end(&mut self, now: Instant, end: Option<QueryEnd>) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let Some(end) = end else { return };
        let duration = now.saturating_duration_since(end.began_at).as_secs_f64();
        average(&mut self.duration_s, duration);
        average(&mut self.service_time_s, end.service_time.as_secs_f64());
        if let Ok(at) = self.find(end.priority, end.objective) {
            average(&mut self.kinds[at].duration_s, duration);
        }
        let allowed = self.allowed_delay(now).as_secs_f64();
        let congestion = end.queued_per_slot.map(|queued| queued * self.service_time_s / allowed);
        let host_congestion = end.host_delay.as_secs_f64() / allowed;
        self.limit.record(now, end.began_at, in_flight, congestion, host_congestion);
    }

    /// Returns whether one more query may start, and none waits.
    #[must_use]
    pub fn has_room(&self, now: Instant) -> bool {
        self.queue.is_empty() && self.limit.allows(now, self.in_flight)
    }

    /// Returns the limit, the queries in flight and those in the queue.
    #[must_use]
    pub fn load(&self) -> (f64, usize, usize) {
        (self.limit.limit(), self.in_flight, self.queue.len())
    }

    /// Returns when a query with `ahead` others before it is expected to start.
    fn expected_start(&self, now: Instant, ahead: usize) -> Instant {
        let interval = Duration::from_secs_f64(1.0 / self.starts_per_s());
        // Without a query in flight a pause holds up the next start, and its end is known.
        let next = self.pause_end().map_or(now + interval, |end| end.max(now));
        next + interval.mul_f64(ahead as f64)
    }

    /// Returns when the pause ends that holds up the next start, if no query is in flight.
    fn pause_end(&self) -> Option<Instant> {
        self.limit.paused_until().filter(|_| self.in_flight == 0)
    }

    fn refuse(&mut self, now: Instant, query: &QueuedQuery) -> Duration {
        let starts_per_s = self.starts_per_s();
        let not_before = self.pause_end().unwrap_or(now);
        self.returns.promise(now, not_before, query.asked_at, starts_per_s, query.return_within)
    }

    fn starts_per_s(&self) -> f64 {
        let shortest =
            || self.kinds.iter().map(|kind| kind.duration_s).fold(f64::INFINITY, f64::min).min(1.0);
        let duration_s = if self.duration_s == 0.0 { shortest() } else { self.duration_s };
        self.limit.starts_per_s(Duration::from_secs_f64(duration_s))
    }

    /// Returns the queueing delay at the targets, and the delay of this host, at which all kinds of queries can still be in time.
    fn allowed_delay(&self, now: Instant) -> Duration {
        let recent =
            self.kinds.iter().filter(|kind| now.saturating_duration_since(kind.last_arrival) < KIND_TTL);
        let tightest = recent.map(|kind| kind.objective).min().unwrap_or(Duration::from_secs(1));
        tightest.mul_f64(ALLOWED_DELAY_SHARE)
    }

    fn arrive(&mut self, now: Instant, query: &QueryArrival) -> QueryKind {
        let budget_s = query.budget.as_secs_f64();
        let at = match self.find(query.priority, query.objective) {
            Ok(at) => at,
            Err(at) => {
                let duration_s = query.objective.as_secs_f64() * INITIAL_DURATION_SHARE;
                let QueryArrival { priority, objective, .. } = *query;
                self.kinds
                    .insert(at, QueryKind { priority, objective, last_arrival: now, duration_s, budget_s });
                at
            }
        };
        let kind = &mut self.kinds[at];
        kind.last_arrival = now;
        kind.budget_s = budget_s.max(kind.budget_s + BUDGET_DECAY * (budget_s - kind.budget_s));
        *kind
    }

    fn find(&self, priority: u32, objective: Duration) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&(priority, objective), |kind| (kind.priority, kind.objective))
    }
}

/// Returns the mean queue at the targets of a query, as a multiple of their slots, without the longest third of them;
/// `None` if no target reported one.
///
/// A few slow replicas have long queues whatever the demand: fewer queries would not shorten them, and shards that
/// depend on them are skipped or late. A queue at most targets is what a limit on the queries can shorten.
#[must_use]
pub fn common_queue(queued_per_slot: &[f64]) -> Option<f64> {
    let mut queues = queued_per_slot.to_vec();
    queues.sort_unstable_by(f64::total_cmp);
    queues.truncate((queues.len() as f64 * COMMON_SHARE).ceil() as usize);
    (!queues.is_empty()).then(|| queues.iter().sum::<f64>() / queues.len() as f64)
}

fn average(mean: &mut f64, sample: f64) {
    *mean = if *mean == 0.0 { sample } else { *mean + EWMA_WEIGHT * (sample - *mean) };
}
