//! One target, with this host's connections to it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use egret_policy::{ExchangeEnd, TargetLoad};
use egret_routes::Replica;
use tokio::sync::Notify;

use crate::{clock::now, connection::Connection, target_set::TargetOptions};

/// How much slower than usual a target is that just started.
const COLD_SLOWNESS: f64 = 1.6;

/// One run of one replica.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) replica: Replica,
    pub(crate) is_local: bool,
    weigh_latency: bool,
    avoid_failing: bool,
    state: Mutex<TargetState>,
    retired: AtomicBool,
    pub(crate) connection_freed: Notify,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) load: TargetLoad,
    pub(crate) idle_connections: Vec<Connection>,
    pub(crate) open_connections: usize,
}

impl Target {
    pub(crate) fn new(replica: Replica, options: TargetOptions<'_>) -> Self {
        let is_local = *replica.data_centre == *options.data_centre;
        let load = TargetLoad::new(replica.slots);
        let state = Mutex::new(TargetState { load, idle_connections: Vec::new(), open_connections: 0 });
        Self {
            replica,
            is_local,
            weigh_latency: options.weigh_latency,
            avoid_failing: options.avoid_failing,
            state,
            retired: AtomicBool::new(false),
            connection_freed: Notify::new(),
        }
    }

    pub(crate) fn is_same(&self, replica: &Replica) -> bool {
        self.replica.is_same_run(replica)
            && self.replica.address == replica.address
            && self.replica.service == replica.service
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes idle connections and turns waiting exchanges away; no new work may come.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        self.state().idle_connections.clear();
        self.connection_freed.notify_waiters();
    }

    /// Keeps new and waiting work away for as long as the target wants none.
    pub(crate) fn back_off(&self, now: Instant, wanted: Duration) {
        self.state().load.back_off(now, wanted, fastrand::f64());
        self.connection_freed.notify_waiters();
    }

    /// Returns how much longer the target wants nothing; zero where it takes work.
    pub(crate) fn backoff_left(&self, now: Instant) -> Duration {
        self.state().load.backoff_left(now)
    }

    /// Tells whether new work may go to the target.
    pub(crate) fn accepts_requests(&self, now: Instant) -> bool {
        !self.is_retired() && self.backoff_left(now).is_zero()
    }

    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }

    /// Returns the expected time of one more request, in usual latencies.
    pub(crate) fn cost(&self, now: Instant) -> f64 {
        self.state().load.cost(now) * self.cold_factor()
    }

    /// Returns the cost where what is not known of the target is taken to be like another one.
    pub(crate) fn cost_with_prior(&self, now: Instant, slowness: f64) -> f64 {
        self.state().load.cost_with_prior(now, slowness) * self.cold_factor()
    }

    /// Returns how many times as long as usual the target seems to take, apart from its queue.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.state().load.slowness(now)
    }

    fn cold_factor(&self) -> f64 {
        if self.replica.warm_up_ms > 0 { COLD_SLOWNESS } else { 1.0 }
    }

    pub(crate) fn has_free_slot(&self, now: Instant) -> bool {
        self.state().load.has_free_slot(now)
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_failing && self.state().load.is_avoided(now)
    }
}

/// An exchange that counts as work at its target until it ends, also where it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    pub(crate) target: Arc<Target>,
    began: Instant,
    ended: bool,
}

impl InFlightGuard {
    pub(crate) fn begin(target: Arc<Target>, now: Instant, typical_latency: Duration) -> Self {
        target.state().load.begin(now, typical_latency);
        Self { target, began: now, ended: false }
    }

    pub(crate) fn end(&mut self, now: Instant, end: ExchangeEnd) {
        if !self.ended {
            self.ended = true;
            let end = if self.target.weigh_latency { end } else { end.without_latency() };
            self.target.state().load.end(now, self.began, end);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end(now(), ExchangeEnd::Abandoned);
    }
}
