//! What the traffic of one host shares.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use egret_events::{Code, log_event};
use egret_policy::{AnswerDelivery, CallerBudgets, LeadTimeEstimator, RetryBudget, Suspects};
use egret_routes::{Backend, RECORD_BYTES, Registry, Replica, ReplicaRun, Route, RouteTable};
use tokio::sync::Notify;

use crate::{
    Mechanism, Options,
    answer_memory::AnswerMemory,
    caller_request::CallerRequest,
    clock::now,
    connection::Connection,
    instruments::Instruments,
    route_latency::RouteLatency,
    target::Target,
    target_set::{TargetOptions, TargetSet},
};

/// The share of a target's connections that hosts use; the rest is for hosts that come and go.
const CONNECTIONS_SHARE: f64 = 0.6;
/// Shares of the targets' limits for each gatherer; the rest is for other hosts' needs.
const GATHERER_COUNT_MARGIN: f64 = 1.2;
/// How long another data centre's word of an overload counts; a queue drains in that time.
const REMOTE_OVERLOAD_TTL: Duration = Duration::from_millis(200);
/// Hosts among which limits are shared at least; one that just started knows few others.
const SHARING_HOSTS_MIN: usize = 12;
/// How long a target that broke a connection may take to show that it still runs.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Targets' answers take up one part of so many of the host's memory at most.
const ANSWERS_MEMORY_SHARE: usize = 4;
/// A caller that spent more of its goal than this before its request came is late anyway.
const SPENT_GOAL_SHARE_MAX: f64 = 0.5;
/// Bytes of one target's receipt in an answer, about.
const RECEIPT_BYTES: usize = 32;

/// A value under a name, in a sorted vector.
#[derive(Debug)]
struct Named<T> {
    name: Arc<str>,
    value: T,
}

/// What the traffic of one host shares.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) table: ArcSwapOption<RouteTable>,
    pub(crate) targets: ArcSwap<TargetSet>,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) instruments: Instruments,
    /// Hosts that gather for others, by data centre.
    pub(crate) gatherers: ArcSwap<TargetSet>,
    hosts: AtomicUsize,
    gatherer_count: AtomicUsize,
    is_gatherer: AtomicBool,
    parts: AtomicU64,
    stopping: AtomicBool,
    store_confirmed_at: Mutex<Option<Instant>>,
    /// When gatherers of other data centres last left services out.
    overloads: Mutex<Vec<Named<Instant>>>,
    budgets: Mutex<Vec<Named<RetryBudget>>>,
    latencies: Mutex<Vec<Named<RouteLatency>>>,
    lead_time: Mutex<LeadTimeEstimator>,
    /// What callers state of their time, by route.
    stated_budgets: Mutex<Vec<Named<CallerBudgets>>>,
    pub(crate) answer_memory: AnswerMemory,
    /// Runs of targets that said that they leave, until the control thread takes them.
    leaving: Mutex<Vec<ReplicaRun>>,
    has_leaving: Notify,
}

impl Core {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            answer_memory: AnswerMemory::new(options.memory_bytes / ANSWERS_MEMORY_SHARE),
            lead_time: Mutex::new(LeadTimeEstimator::new(options.millicores, options.link_bytes_per_s)),
            options,
            table: ArcSwapOption::default(),
            targets: ArcSwap::default(),
            suspects: Mutex::default(),
            instruments: Instruments::open(),
            gatherers: ArcSwap::default(),
            hosts: AtomicUsize::new(1),
            gatherer_count: AtomicUsize::new(0),
            is_gatherer: AtomicBool::new(false),
            parts: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            store_confirmed_at: Mutex::default(),
            overloads: Mutex::default(),
            budgets: Mutex::default(),
            latencies: Mutex::default(),
            stated_budgets: Mutex::default(),
            leaving: Mutex::default(),
            has_leaving: Notify::new(),
        }
    }

    pub(crate) fn set_table(&self, table: Arc<RouteTable>) {
        self.table.store(Some(table));
    }

    pub(crate) fn set_replicas(&self, registry: &Registry) {
        let next = self.targets.load().rebuild(now(), registry.usable(), self.target_options());
        self.targets.store(Arc::new(next));
    }

    fn target_options(&self) -> TargetOptions<'_> {
        TargetOptions {
            data_centre: &self.options.data_centre,
            weigh_latency: self.is_enabled(Mechanism::LatencyWeighting),
            avoid_failing: self.is_enabled(Mechanism::Ejection),
        }
    }

    pub(crate) fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts, Ordering::Relaxed);
    }

    /// Takes the hosts that gather, as targets whose service is their data centre.
    pub(crate) fn set_gatherers(&self, gatherers: &[Replica]) {
        let own = self.options.gathers;
        let others = gatherers.iter().filter(|gatherer| gatherer.address != own);
        let next = self.gatherers.load().rebuild(now(), others, self.target_options());
        self.gatherers.store(Arc::new(next));
        self.gatherer_count.store(gatherers.len(), Ordering::Relaxed);
        let is_gatherer = gatherers.iter().any(|gatherer| gatherer.address == own);
        self.is_gatherer.store(is_gatherer, Ordering::Relaxed);
    }

    /// Tells whether this host asks the targets of gathers itself.
    pub(crate) fn is_gatherer(&self) -> bool {
        self.is_gatherer.load(Ordering::Relaxed)
    }

    /// Tells whether a mechanism is in use.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.options.disabled_mechanisms.contains(mechanism)
    }

    /// Counts parts of gathers that this host asks for.
    pub(crate) fn count_parts(&self, parts: usize) {
        self.parts.fetch_add(parts as u64, Ordering::Relaxed);
    }

    /// Returns the parts that were counted since the last call.
    pub(crate) fn take_part_count(&self) -> u64 {
        self.parts.swap(0, Ordering::Relaxed)
    }

    /// Returns among how many hosts the limits of a service's targets are shared.
    ///
    /// For the shards of gathers, gatherers share among themselves: another host asks these
    /// targets only where no gatherer answers.
    fn hosts_sharing_limits(&self, is_shard: bool) -> usize {
        let gatherers = self.gatherer_count.load(Ordering::Relaxed);
        if is_shard && self.is_gatherer() && gatherers > 0 {
            return (gatherers as f64 * GATHERER_COUNT_MARGIN).ceil() as usize;
        }
        self.hosts.load(Ordering::Relaxed).max(SHARING_HOSTS_MIN)
    }

    pub(crate) fn set_store_confirmed_at(&self, at: Option<Instant>) {
        *lock(&self.store_confirmed_at) = at;
    }

    /// Returns how long ago the store last answered a host that told this one.
    pub(crate) fn store_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.store_confirmed_at).map(|at| now.saturating_duration_since(at))
    }

    /// Returns how many hosts are known.
    pub(crate) fn known_hosts(&self) -> usize {
        self.hosts.load(Ordering::Relaxed)
    }

    /// Returns the extra copies that are left where fewest are.
    pub(crate) fn lowest_copy_budget(&self) -> f64 {
        lock(&self.budgets).iter().map(|budget| budget.value.tokens()).fold(f64::INFINITY, f64::min)
    }

    /// Tells whether a route that is not in the table may have been added since.
    pub(crate) fn config_may_be_stale(&self, now: Instant) -> bool {
        self.store_age(now).is_none_or(|age| age > self.options.config_lag)
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Tells whether the balancer should send callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.load().is_some()
    }

    /// Returns how many connections this host may open to each target of a service.
    pub(crate) fn connections_max(&self, service: &str, is_shard: bool) -> usize {
        let table = self.table.load();
        let all = table.as_ref().and_then(|table| table.service(service)).map_or(1, |s| s.connections_max);
        let hosts = self.hosts_sharing_limits(is_shard);
        ((f64::from(all) * CONNECTIONS_SHARE) as usize / hosts).max(1)
    }

    /// Notes that a gatherer of another data centre left services out.
    pub(crate) fn note_remote_overload<'a>(
        &self,
        now: Instant,
        services: impl Iterator<Item = &'a Arc<str>>,
    ) {
        let mut overloads = lock(&self.overloads);
        for service in services {
            *named(&mut overloads, service, || now) = now;
        }
    }

    /// Tells whether a gatherer of another data centre left a service out a moment ago.
    pub(crate) fn has_remote_overload(&self, now: Instant, service: &str) -> bool {
        let overloads = lock(&self.overloads);
        let at = overloads.binary_search_by(|item| (*item.name).cmp(service));
        at.is_ok_and(|at| now.saturating_duration_since(overloads[at].value) < REMOTE_OVERLOAD_TTL)
    }

    /// Counts a first copy at a service.
    pub(crate) fn credit_copy_budget(&self, now: Instant, service: &Arc<str>, is_shard: bool) {
        let hosts = self.hosts_sharing_limits(is_shard);
        self.with_budget(now, service, hosts, |budget| budget.earn(hosts));
    }

    /// Takes a second copy at a service out of the budget, if there is one.
    pub(crate) fn try_spend_copy_budget(&self, now: Instant, service: &Arc<str>, is_shard: bool) -> bool {
        let hosts = self.hosts_sharing_limits(is_shard);
        self.with_budget(now, service, hosts, |budget| budget.spend(now, hosts))
    }

    fn with_budget<R>(
        &self,
        now: Instant,
        service: &Arc<str>,
        hosts: usize,
        act: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let create = || RetryBudget::new(now, self.options.retry_limits, hosts);
        act(named(&mut lock(&self.budgets), service, create))
    }

    /// Reads or changes what is known of a route's latency.
    pub(crate) fn with_latency<R>(&self, route: &Route, act: impl FnOnce(&mut RouteLatency) -> R) -> R {
        act(named(&mut lock(&self.latencies), &route.name, || RouteLatency::new(route)))
    }

    /// Takes a target's word that it leaves: it gets no more work, here at once and soon elsewhere.
    pub(crate) fn retire_target(&self, target: &Target) {
        if !target.is_retired() {
            target.retire();
            lock(&self.leaving).push(ReplicaRun::from(&target.replica));
            self.has_leaving.notify_one();
        }
    }

    /// Waits until targets said that they leave, and returns their runs.
    pub(crate) async fn next_leaving_targets(&self) -> Vec<ReplicaRun> {
        self.has_leaving.notified().await;
        std::mem::take(&mut *lock(&self.leaving))
    }

    /// Returns when the answer to a request has to be made, for its caller to have it by the goal.
    pub(crate) fn answer_due_at(&self, route: &Route, req: &CallerRequest) -> Instant {
        let goal = Duration::from_millis(route.latency_objective_ms);
        let bytes = match &route.backend {
            Backend::Gather(plan) if self.is_enabled(Mechanism::LinkTransferTime) => {
                plan.shards.len() * RECEIPT_BYTES + plan.top_k * RECORD_BYTES
            }
            _ => 0,
        };
        let spent = if self.is_enabled(Mechanism::LearnedCallerDelay) {
            self.spent_before_arrival(route, req)
        } else {
            None
        };
        let mut lead_time = lock(&self.lead_time);
        spent.into_iter().for_each(|spent| lead_time.record_connection_setup(spent));
        // One that cannot have its answer by the goal any more is answered as if it came first.
        let spent = spent.filter(|&spent| spent < goal.mul_f64(SPENT_GOAL_SHARE_MAX));
        let way = AnswerDelivery { on_new_connection: req.is_new_connection, elapsed: spent, bytes };
        req.arrived_at + goal.saturating_sub(lead_time.estimate(way))
    }

    /// Returns what a caller spent of its time before its request left, where that shows.
    fn spent_before_arrival(&self, route: &Route, req: &CallerRequest) -> Option<Duration> {
        let mut all = lock(&self.stated_budgets);
        let stated = named(&mut all, &route.name, CallerBudgets::default);
        if !req.is_new_connection {
            stated.record(req.deadline);
            return None;
        }
        stated.elapsed(req.deadline)
    }

    /// Notes when an answer was written that had to be made at `due_at`.
    pub(crate) fn answer_written(&self, due_at: Instant) {
        let late = now().saturating_duration_since(due_at);
        if self.is_enabled(Mechanism::LearnedAnswerDelay) {
            lock(&self.lead_time).record_send_delay(late);
        }
        self.instruments.answer_delay(late);
    }

    /// Checks whether a request that lost its connection crashed its target.
    pub(crate) fn check_for_crash(self: &Arc<Self>, target: Arc<Target>, req: &CallerRequest) {
        let core = Arc::clone(self);
        let fingerprint = req.fingerprint;
        let id = req.id.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_CHECK_DELAY).await;
            if let Some(connection) = Connection::open(&target).await {
                connection.keep(&target);
                return;
            }
            let now = now();
            let breaks = lock(&core.suspects).record_break(now, fingerprint, true);
            let detail = format!("target {} is down after it; crashes {breaks}", target.replica.id);
            log_event(Code::SuspectMarked, id.to_str().unwrap_or_default(), &detail);
        });
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }
}

fn named<'a, T>(list: &'a mut Vec<Named<T>>, name: &Arc<str>, create: impl FnOnce() -> T) -> &'a mut T {
    let at = match list.binary_search_by(|item| item.name.cmp(name)) {
        Ok(at) => at,
        Err(at) => {
            list.insert(at, Named { name: Arc::clone(name), value: create() });
            at
        }
    };
    &mut list[at].value
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
