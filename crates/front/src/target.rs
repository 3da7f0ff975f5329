//! One target, with this host's connections to it.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use egret_policy::{
    ExchangeEnd, LimitShare, PlacementTarget, PooledLoad, RequestLimit, TargetBacklog, TargetLoad,
};
use egret_routes::Replica;
use tokio::sync::Notify;

use crate::{
    clock::now, connection::Connection, memory_account::MemoryAccount, request_work::RequestWork,
    target_set::TargetOptions, target_warm_up::TargetWarmUp,
};

/// What sending a request of a few kilobytes to another data centre adds to its completion: a round trip
/// between data centres and the transfer. Queueing for a slot takes far longer.
const REMOTE_DELAY: Duration = Duration::from_millis(3);

/// One run of one replica, as this host sees it. A restarted replica is a new target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) replica: Replica,
    /// Whether the target is in this host's data centre.
    pub(crate) is_local: bool,
    /// The address of this host that connections to the target come from.
    pub(crate) source: IpAddr,
    weigh_latency: bool,
    eject_failing: bool,
    state: Mutex<TargetState>,
    retired: AtomicBool,
    /// Where answers that are read in frames are charged.
    pub(crate) memory: MemoryAccount,
    /// Where connections are charged while they are open.
    pub(crate) connection_memory: MemoryAccount,
    /// Wakes exchanges that wait for a connection: one was freed, or the target takes no more
    /// requests.
    pub(crate) connection_freed: Notify,
}

/// The part of a target's state that changes with each exchange.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) load: TargetLoad,
    /// The work that is pending at the target, where its requests need one target each.
    pub(crate) backlog: TargetBacklog,
    pub(crate) warm_up: TargetWarmUp,
    /// The limit on requests that the target states, if any.
    limit: Option<RequestLimit>,
    pub(crate) idle_connections: Vec<Connection>,
    /// Connections of this host to the target that are open or being opened, idle ones included.
    pub(crate) open_connections: usize,
    /// Since when no connection to the target could be opened; `None` if the last attempt succeeded.
    pub(crate) unreachable_since: Option<Instant>,
}

impl TargetState {
    /// Records whether a connection could be opened.
    pub(crate) fn record_reached(&mut self, now: Instant, is_reached: bool) {
        self.unreachable_since = (!is_reached).then(|| self.unreachable_since.unwrap_or(now));
    }
}

impl Target {
    pub(crate) fn new(now: Instant, replica: Replica, options: TargetOptions<'_>) -> Self {
        let is_local = *replica.data_centre == *options.data_centre;
        let load = TargetLoad::new(replica.slots);
        let backlog = TargetBacklog::new(replica.slots);
        let warm_up = TargetWarmUp::new(now, &replica);
        let idle_connections = Vec::new();
        let state = Mutex::new(TargetState {
            load,
            backlog,
            warm_up,
            limit: None,
            idle_connections,
            open_connections: 0,
            unreachable_since: None,
        });
        Self {
            replica,
            is_local,
            source: options.own.ip(),
            weigh_latency: options.weigh_latency,
            eject_failing: options.eject_failing,
            state,
            retired: AtomicBool::new(false),
            memory: options.memory.clone(),
            connection_memory: options.connection_memory.clone(),
            connection_freed: Notify::new(),
        }
    }

    /// Returns whether a replica is the same run of the same service at the same address.
    pub(crate) fn is_same(&self, replica: &Replica) -> bool {
        self.replica.is_same_run(replica)
            && self.replica.address == replica.address
            && self.replica.service == replica.service
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the use of the target: closes idle connections and fails exchanges that wait for one.
    /// Exchanges that are in flight go on.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        self.state().idle_connections.clear();
        self.connection_freed.notify_waiters();
    }

    /// Sends the target no requests, neither new nor waiting ones, for the time that it asked for.
    pub(crate) fn back_off(&self, now: Instant, wanted: Duration) {
        self.state().load.back_off(now, wanted, fastrand::f64());
        self.connection_freed.notify_waiters();
    }

    /// Returns what is left of the target's backoff.
    pub(crate) fn backoff_left(&self, now: Instant) -> Duration {
        self.state().load.backoff_left(now)
    }

    /// Returns how long until neither the target's backoff nor its limit keeps requests from it.
    pub(crate) fn time_until_room(&self, now: Instant) -> Duration {
        let state = self.state();
        state.load.backoff_left(now).max(state.time_until_limit_room(now))
    }

    /// Records the limit that the target states with an answer to a request that was sent at `sent_at`,
    /// or that it states none; returns whether the limit began.
    pub(crate) fn state_limit(
        &self,
        now: Instant,
        sent_at: Instant,
        per_s: Option<f64>,
        share: impl FnOnce() -> LimitShare,
    ) -> bool {
        let mut state = self.state();
        match (&mut state.limit, per_s) {
            (Some(limit), Some(per_s)) => limit.state(now, per_s),
            (None, Some(per_s)) => {
                state.limit = Some(RequestLimit::new(now, per_s, share()));
                return true;
            }
            (Some(limit), None) if limit.is_ended_by_answer_to(sent_at) => state.limit = None,
            (_, None) => {}
        }
        false
    }

    /// Sets the place of this host among those that share the target's limit, if it states one.
    pub(crate) fn set_limit_share(&self, now: Instant, share: impl FnOnce() -> LimitShare) {
        if let Some(limit) = &mut self.state().limit {
            limit.set_share(now, share());
        }
    }

    /// Returns whether the target may be chosen for one more request.
    pub(crate) fn accepts_requests(&self, now: Instant) -> bool {
        self.accepts_chosen_requests(now) && self.state().time_until_limit_room(now).is_zero()
    }

    /// Returns whether requests for which the target was chosen may be sent to it.
    pub(crate) fn accepts_chosen_requests(&self, now: Instant) -> bool {
        !self.is_retired() && self.backoff_left(now).is_zero() && self.state().warm_up.admits(now)
    }

    /// Counts a request that is about to be sent; returns whether it may be sent.
    pub(crate) fn try_send(&self, now: Instant) -> bool {
        self.accepts_chosen_requests(now) && self.state().warm_up.try_send(now)
    }

    /// Takes a request out of this host's share of the target's limit, if it states one.
    ///
    /// This is done when the target is chosen, before the connection is there, so that a gather does not
    /// start with shards whose room others take meanwhile.
    pub(crate) fn take_limit_room(&self, now: Instant) {
        if let Some(limit) = &mut self.state().limit {
            limit.take(now);
        }
    }

    /// Returns the room that was taken for a request which is not sent.
    pub(crate) fn return_limit_room(&self, now: Instant) {
        if let Some(limit) = &mut self.state().limit {
            limit.put_back(now);
        }
    }

    /// Returns whether the target was removed from the registry or announced that it leaves.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }

    /// Returns the expected latency of one more request, in typical latencies.
    pub(crate) fn cost(&self, now: Instant) -> f64 {
        let state = self.state();
        state.load.cost(now) * state.warm_up.cost_factor(now)
    }

    /// Returns the cost with the given slowness as the prior for what is not known of the target.
    pub(crate) fn cost_with_prior(&self, now: Instant, slowness: f64) -> f64 {
        let state = self.state();
        state.load.cost_with_prior(now, slowness) * state.warm_up.cost_factor(now)
    }

    /// Returns what a request may expect of this target, given the mean load of its service's targets.
    pub(crate) fn placement(&self, now: Instant, work: &RequestWork, pool: PooledLoad) -> PlacementTarget {
        let state = self.state();
        let slowness = state.work_slowness(now);
        let wait = state.backlog.expected_wait(now, work.mean_cost, pool).mul_f64(slowness);
        let service = work.cost.mul_f64(slowness * state.load.slow_start_factor(now));
        let distance = if self.is_local { Duration::ZERO } else { REMOTE_DELAY };
        PlacementTarget {
            wait,
            completion: wait + service + distance,
            has_free_slot: state.backlog.has_free_slot(now, work.mean_cost, pool),
            full_left: state.backlog.full_left(now),
        }
    }

    /// Returns how much later the target counts as completing a request, after a failure.
    pub(crate) fn failure_factor(&self, now: Instant) -> f64 {
        self.state().load.failure_factor(now)
    }

    /// Returns the estimated ratio of the target's latency to the typical one, without its queue.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.state().load.slowness(now)
    }

    /// Returns whether the target seems to have a free slot.
    pub(crate) fn has_free_slot(&self, now: Instant) -> bool {
        self.state().load.has_free_slot(now)
    }

    /// Returns whether the target is ejected after failures, and picked only if there is no other.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.eject_failing && self.state().load.is_ejected(now)
    }
}

impl TargetState {
    /// Returns the factor by which the target works slower than usual on requests that are placed by their cost.
    pub(crate) fn work_slowness(&self, now: Instant) -> f64 {
        self.backlog.slowness(now, self.load.slowness(now)) * self.warm_up.cost_factor(now)
    }

    fn time_until_limit_room(&self, now: Instant) -> Duration {
        let limit = self.limit.filter(|limit| !limit.is_outdated(now));
        limit.map_or(Duration::ZERO, |limit| limit.time_until_room(now))
    }
}

/// Counts an exchange as in flight at its target until it ends or is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    pub(crate) target: Arc<Target>,
    began: Instant,
    /// The mean cost of the route's requests, if the exchange is counted in the target's backlog.
    mean_cost: Option<Duration>,
    has_ended: bool,
}

impl InFlightGuard {
    pub(crate) fn begin(target: Arc<Target>, now: Instant, typical_latency: Duration) -> Self {
        target.state().load.begin(now, typical_latency);
        Self { target, began: now, mean_cost: None, has_ended: false }
    }

    /// Counts the work of the exchange in the target's backlog, with the time that it waits for a slot.
    pub(crate) fn with_work(mut self, work: Option<(RequestWork, Duration)>) -> Self {
        if let Some((work, wait)) = work {
            self.target.state().backlog.begin(self.began, work.cost, wait);
            self.mean_cost = Some(work.mean_cost);
        }
        self
    }

    /// Records the end of the exchange; only the first call counts.
    pub(crate) fn end(&mut self, now: Instant, end: ExchangeEnd) {
        if !self.has_ended {
            self.has_ended = true;
            let end = if self.target.weigh_latency { end } else { end.without_latency() };
            let mut state = self.target.state();
            state.load.end(now, self.began, end);
            if let Some(mean_cost) = self.mean_cost {
                state.backlog.end(self.began);
                if end == ExchangeEnd::Shed {
                    state.backlog.shed(now, mean_cost);
                }
            }
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end(now(), ExchangeEnd::Abandoned);
    }
}
