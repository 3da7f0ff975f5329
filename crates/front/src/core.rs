//! The state of one host that all its requests share.

mod answer_timing;
mod crash_check;
mod excluded;
mod extra_attempts;
mod homes;
mod latency;
mod reach;
mod refusals;
mod request_cost;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use egret_policy::{
    CallerBudgets, LeadTimeEstimator, LimitShare, MARK_MEMORY, RefusalMemory, RequestCosts, RetryBudget,
    ReturnSchedule, Suspects, TargetReach,
};
use egret_routes::{Evacuations, Registry, Replica, ReplicaRun, RouteTable};
use tokio::sync::{Notify, watch};

use crate::{
    Mechanism, Options,
    admission::Admission,
    caller_connections::CallerConnections,
    clock::now,
    excluded_replica::ExcludedReplica,
    home_views::HomeViews,
    instruments::Instruments,
    limit_sharers::LimitSharers,
    memory_account::MemoryAccount,
    route_latency::RouteLatency,
    target::Target,
    target_set::{TargetOptions, TargetSet},
};

/// The share of a target's connections that the known hosts use; the rest is for hosts that join or leave.
const CONNECTIONS_SHARE: f64 = 0.6;
/// Gatherers divide the targets' limits as if there were this many times as many; the rest is left
/// for hosts that reach no gatherer.
const GATHERER_COUNT_MARGIN: f64 = 1.2;
/// How long a service counts as overloaded after a gatherer of another data centre reported it; a
/// queue drains in that time.
const REMOTE_OVERLOAD_TTL: Duration = Duration::from_millis(200);
/// The minimum number of hosts among which limits are divided, because a host that just started
/// knows few others.
const SHARING_HOSTS_MIN: usize = 12;

/// An entry of a vector that is sorted by name and serves as a map.
#[derive(Debug)]
struct NamedEntry<T> {
    name: Arc<str>,
    value: T,
}

/// The state of one host that all its requests share.
///
/// The control thread writes the configuration, the targets and the gatherers; request handlers read
/// them without waiting, and share budgets and measured latencies under short locks.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) table: ArcSwapOption<RouteTable>,
    pub(crate) targets: ArcSwap<TargetSet>,
    /// The replicas that the registry lists and that get no requests.
    excluded: ArcSwap<Vec<ExcludedReplica>>,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) instruments: Instruments,
    /// The other hosts that gather, as targets of services named after their data centres.
    pub(crate) gatherers: ArcSwap<TargetSet>,
    /// The targets and the gatherers within the homes of requests.
    home_views: Mutex<(HomeViews, HomeViews)>,
    hosts: AtomicUsize,
    evacuated: AtomicUsize,
    gatherer_count: AtomicUsize,
    is_gatherer: AtomicBool,
    warm_up_owners: Mutex<Vec<SocketAddr>>,
    /// The hosts that share the limits of targets.
    limit_sharers: ArcSwap<LimitSharers>,
    /// Parts of gathers that this host asked for since the load was last computed.
    parts: AtomicU64,
    stopping: AtomicBool,
    /// Whether the time for requests in flight at a shutdown has passed.
    grace_ended: watch::Sender<bool>,
    store_confirmed_at: Mutex<Option<Instant>>,
    /// When another host was last heard from.
    peer_heard_at: Mutex<Option<Instant>>,
    /// When gatherers of other data centres last shed the requests to a service, by service.
    overloads: Mutex<Vec<NamedEntry<Instant>>>,
    /// The budgets for hedges and retries, by service.
    budgets: Mutex<Vec<NamedEntry<RetryBudget>>>,
    /// Latencies, by route.
    latencies: Mutex<Vec<NamedEntry<RouteLatency>>>,
    lead_time: Mutex<LeadTimeEstimator>,
    /// The time budgets that callers state, by route.
    stated_budgets: Mutex<Vec<NamedEntry<CallerBudgets>>>,
    /// The costs of requests that need one target.
    request_costs: Mutex<RequestCosts>,
    /// When callers that were refused may return, by service.
    return_schedules: Mutex<Vec<NamedEntry<ReturnSchedule>>>,
    pub(crate) memory: MemoryAccount,
    /// The part of `memory` for callers' connections.
    pub(crate) connection_memory: MemoryAccount,
    /// The part of `memory` for connections to targets and gatherers.
    target_connection_memory: MemoryAccount,
    pub(crate) callers: CallerConnections,
    /// The gathers that run or wait on this host.
    pub(crate) admission: Mutex<Admission>,
    /// The gatherers that refused a gather of this host a moment ago.
    refusals: Mutex<RefusalMemory>,
    /// Runs of targets that announced that they shut down, until the control thread takes them.
    leaving: Mutex<Vec<ReplicaRun>>,
    has_leaving: Notify,
    reach: Mutex<TargetReach>,
    /// Whether no target can be reached from this host.
    partitioned: watch::Sender<bool>,
}

impl Core {
    pub(crate) fn new(options: Options) -> Self {
        let memory = MemoryAccount::new(options.memory_bytes);
        Self {
            connection_memory: memory.connections(),
            target_connection_memory: memory.target_connections(),
            memory,
            callers: CallerConnections::default(),
            lead_time: Mutex::new(LeadTimeEstimator::new(options.millicores, options.link_bytes_per_s)),
            options,
            table: ArcSwapOption::default(),
            targets: ArcSwap::default(),
            excluded: ArcSwap::default(),
            suspects: Mutex::new(Suspects::remembering(MARK_MEMORY)),
            admission: Mutex::default(),
            refusals: Mutex::default(),
            instruments: Instruments::open(),
            gatherers: ArcSwap::default(),
            home_views: Mutex::default(),
            hosts: AtomicUsize::new(1),
            evacuated: AtomicUsize::new(0),
            gatherer_count: AtomicUsize::new(0),
            is_gatherer: AtomicBool::new(false),
            warm_up_owners: Mutex::default(),
            limit_sharers: ArcSwap::default(),
            parts: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            grace_ended: watch::Sender::new(false),
            store_confirmed_at: Mutex::default(),
            peer_heard_at: Mutex::default(),
            overloads: Mutex::default(),
            budgets: Mutex::default(),
            latencies: Mutex::default(),
            stated_budgets: Mutex::default(),
            request_costs: Mutex::default(),
            return_schedules: Mutex::default(),
            leaving: Mutex::default(),
            has_leaving: Notify::new(),
            reach: Mutex::default(),
            partitioned: watch::Sender::new(false),
        }
    }

    pub(crate) fn set_table(&self, table: Arc<RouteTable>) {
        self.check_body_limit(table.limits());
        self.table.store(Some(table));
    }

    /// Installs the replicas that may get requests: none in an evacuated data centre.
    pub(crate) fn set_replicas(&self, registry: &Registry, evacuations: &Evacuations) {
        let admitted = registry.usable().filter(|replica| !evacuations.contains(&replica.data_centre));
        let table = self.table.load();
        let owners = lock(&self.warm_up_owners);
        let options = self.target_options(table.as_deref(), &owners);
        let next = self.targets.load().rebuild(now(), admitted, options);
        self.targets.store(Arc::new(next));
        self.set_excluded(registry, evacuations);
        self.evacuated.store(evacuations.data_centres().len(), Ordering::Relaxed);
    }

    /// Returns the number of evacuated data centres.
    pub(crate) fn evacuated_data_centres(&self) -> usize {
        self.evacuated.load(Ordering::Relaxed)
    }

    fn target_options<'a>(
        &'a self,
        table: Option<&'a RouteTable>,
        warm_up_owners: &'a [SocketAddr],
    ) -> TargetOptions<'a> {
        TargetOptions {
            data_centre: &self.options.data_centre,
            weigh_latency: self.is_enabled(Mechanism::LatencyWeighting),
            eject_failing: self.is_enabled(Mechanism::Ejection),
            table,
            warm_up_limits: self.options.warm_up_limits,
            own: self.options.gathers,
            warm_up_owners,
            memory: &self.memory,
            connection_memory: &self.target_connection_memory,
        }
    }

    pub(crate) fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts, Ordering::Relaxed);
    }

    /// Sets the hosts of this data centre that may own replicas that warm up; returns whether they
    /// changed, so that the targets have to be installed again.
    pub(crate) fn set_warm_up_owners(&self, owners: Vec<SocketAddr>) -> bool {
        let mut known = lock(&self.warm_up_owners);
        let has_changed = *known != owners;
        *known = owners;
        has_changed
    }

    /// Sets the hosts that share the limits which targets state.
    pub(crate) fn set_limit_sharers(&self, sharers: LimitSharers) {
        if **self.limit_sharers.load() != sharers {
            self.limit_sharers.store(Arc::new(sharers));
            self.targets.load().set_limit_shares(now(), |replica| self.limit_share(replica));
        }
    }

    /// Returns the place of this host among those that share a replica's limit.
    pub(crate) fn limit_share(&self, replica: &Replica) -> LimitShare {
        let is_shard = self.table.load().as_ref().is_some_and(|table| table.is_shard(&replica.service));
        self.limit_sharers.load().share(self.options.gathers, replica, is_shard)
    }

    /// Installs the hosts that gather, as replicas of services named after their data centres.
    pub(crate) fn set_gatherers(&self, gatherers: &[Replica]) {
        let own = self.options.gathers;
        let others = gatherers.iter().filter(|gatherer| gatherer.address != own);
        let next = self.gatherers.load().rebuild(now(), others, self.target_options(None, &[]));
        self.gatherers.store(Arc::new(next));
        self.gatherer_count.store(gatherers.len(), Ordering::Relaxed);
        let is_gatherer = gatherers.iter().any(|gatherer| gatherer.address == own);
        self.is_gatherer.store(is_gatherer, Ordering::Relaxed);
    }

    /// Returns whether this host is a gatherer, which sends requests for parts to the targets itself.
    pub(crate) fn is_gatherer(&self) -> bool {
        self.is_gatherer.load(Ordering::Relaxed) && !self.is_partitioned()
    }

    /// Returns whether a mechanism is enabled.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.options.disabled_mechanisms.contains(mechanism)
    }

    /// Counts requests for parts of gathers, which make up the load that this host gossips.
    pub(crate) fn count_parts(&self, parts: usize) {
        self.parts.fetch_add(parts as u64, Ordering::Relaxed);
    }

    /// Returns the number of parts that were counted since the last call, and resets it.
    pub(crate) fn take_part_count(&self) -> u64 {
        self.parts.swap(0, Ordering::Relaxed)
    }

    /// Returns the number of hosts among which the limits of a service's targets are divided.
    ///
    /// For the shards of gathers these are the gatherers, because another host contacts those
    /// targets only when it reaches no gatherer.
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

    /// Returns the time since the store last answered this host or one whose gossip reached it.
    pub(crate) fn store_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.store_confirmed_at).map(|at| now.saturating_duration_since(at))
    }

    /// Returns the number of known hosts, this one included.
    pub(crate) fn known_hosts(&self) -> usize {
        self.hosts.load(Ordering::Relaxed)
    }

    /// Returns whether the configuration may be older than [`Options::config_lag`] allows, so that a
    /// route which it lacks may exist.
    pub(crate) fn config_may_be_stale(&self, now: Instant) -> bool {
        self.store_age(now).is_none_or(|age| age > self.options.config_lag)
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Ends the requests in flight with a failure, since the process exits soon.
    pub(crate) fn end_grace(&self) {
        self.grace_ended.send_replace(true);
    }

    /// Waits until [`Self::end_grace`] is called.
    pub(crate) async fn grace_ended(&self) {
        // Fails only if the sender is dropped, which `self` owns.
        let _ = self.grace_ended.subscribe().wait_for(|has_ended| *has_ended).await;
    }

    /// Returns whether the load balancer should send callers to this host.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.load().is_some()
    }

    /// Returns how many connections this host may open to each target of a service.
    pub(crate) fn connections_max(&self, service: &str, is_shard: bool) -> usize {
        let table = self.table.load();
        let connections =
            table.as_ref().and_then(|table| table.service(service)).map_or(1, |s| s.connections_max);
        let hosts = self.hosts_sharing_limits(is_shard);
        ((f64::from(connections) * CONNECTIONS_SHARE) as usize / hosts).max(1)
    }

    /// Records that a gatherer of another data centre shed the requests to services.
    pub(crate) fn note_remote_overload<'a>(
        &self,
        now: Instant,
        services: impl Iterator<Item = &'a Arc<str>>,
    ) {
        let mut overloads = lock(&self.overloads);
        for service in services {
            *get_or_insert(&mut overloads, service, || now) = now;
        }
    }

    /// Returns whether a gatherer of another data centre shed requests to a service within
    /// [`REMOTE_OVERLOAD_TTL`].
    pub(crate) fn has_remote_overload(&self, now: Instant, service: &str) -> bool {
        let overloads = lock(&self.overloads);
        let at = overloads.binary_search_by(|item| (*item.name).cmp(service));
        at.is_ok_and(|at| now.saturating_duration_since(overloads[at].value) < REMOTE_OVERLOAD_TTL)
    }

    /// Stops sending requests to a target that announced that it shuts down, and hands its run to
    /// the control thread, which gossips it to the other hosts.
    pub(crate) fn retire_target(&self, target: &Target) {
        if !target.is_retired() {
            target.retire();
            lock(&self.leaving).push(ReplicaRun::from(&target.replica));
            self.has_leaving.notify_one();
        }
    }

    /// Waits until targets announce that they shut down, and returns their runs.
    pub(crate) async fn next_leaving_targets(&self) -> Vec<ReplicaRun> {
        self.has_leaving.notified().await;
        std::mem::take(&mut *lock(&self.leaving))
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }
}

/// Returns the value under a name, if there is one.
fn find<'a, T>(list: &'a [NamedEntry<T>], name: &str) -> Option<&'a T> {
    let at = list.binary_search_by(|item| (*item.name).cmp(name)).ok()?;
    Some(&list[at].value)
}

/// Returns the value under a name, after inserting one if there is none.
fn get_or_insert<'a, T>(
    list: &'a mut Vec<NamedEntry<T>>,
    name: &Arc<str>,
    create: impl FnOnce() -> T,
) -> &'a mut T {
    let at = match list.binary_search_by(|item| item.name.cmp(name)) {
        Ok(at) => at,
        Err(at) => {
            list.insert(at, NamedEntry { name: Arc::clone(name), value: create() });
            at
        }
    };
    &mut list[at].value
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
