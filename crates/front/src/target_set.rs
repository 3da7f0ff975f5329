//! The targets that requests may be sent to, by service, and the choice among them.

mod ranking;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::{LimitShare, PlacementTarget, PooledLoad, ShardEstimate, WarmUpLimits, warm_up_owner};
use egret_routes::{Replica, RouteTable, WarmUp};

pub(crate) use self::ranking::{no_jitter, random_jitter};
use crate::{memory_account::MemoryAccount, request_work::RequestWork, target::Target};

/// The expected latency of a service whose targets are all ejected, in typical latencies.
const ALL_EJECTED_COST: f64 = 20.0;

/// Totals over all targets, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetTotals {
    pub(crate) targets: usize,
    pub(crate) ejected: usize,
    pub(crate) in_flight: usize,
    pub(crate) connections: usize,
}

/// Which targets may be picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PickFilter {
    /// Any; ejected ones only if there is no other.
    Any,
    /// Those that are not ejected.
    NotEjected,
    /// Those that are not ejected and cost no more than this, in typical latencies.
    MaxCost(f64),
    /// Any; the one that is expected to complete a request first is picked.
    EarliestCompletion(RequestWork),
    /// Those that seem to have a free slot and to complete a request within a time; the earliest is picked.
    FreeSlot(RequestWork, Duration),
}

impl PickFilter {
    fn work(&self) -> Option<&RequestWork> {
        match self {
            Self::EarliestCompletion(work) | Self::FreeSlot(work, _) => Some(work),
            Self::Any | Self::NotEjected | Self::MaxCost(_) => None,
        }
    }

    /// Returns whether a target passes that is ejected or not; `placement` is set for a request's work.
    fn admits(
        &self,
        now: Instant,
        is_ejected: bool,
        target: &Target,
        placement: Option<PlacementTarget>,
    ) -> bool {
        match self {
            Self::Any | Self::EarliestCompletion(_) => true,
            Self::NotEjected => !is_ejected,
            Self::MaxCost(cost) => !is_ejected && target.cost(now) <= *cost,
            Self::FreeSlot(_, within) => {
                !is_ejected
                    && placement.is_some_and(|at| {
                        at.has_free_slot && at.full_left.is_zero() && at.completion <= *within
                    })
            }
        }
    }
}

/// What targets need to know of the host that uses them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetOptions<'a> {
    /// The host's data centre.
    pub(crate) data_centre: &'a str,
    /// Whether slow targets get fewer requests.
    pub(crate) weigh_latency: bool,
    /// Whether targets that fail are ejected for a while.
    pub(crate) eject_failing: bool,
    /// The configuration in force.
    pub(crate) table: Option<&'a RouteTable>,
    pub(crate) warm_up_limits: WarmUpLimits,
    /// The address at which this host gathers, by which it owns replicas that warm up.
    pub(crate) own: SocketAddr,
    /// The hosts of this data centre that may own replicas that warm up.
    pub(crate) warm_up_owners: &'a [SocketAddr],
    /// Where answers are charged.
    pub(crate) memory: &'a MemoryAccount,
    /// Where open connections are charged.
    pub(crate) connection_memory: &'a MemoryAccount,
}

impl TargetOptions<'_> {
    fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.table?.service(service)?.warm_up
    }

    /// Returns the requests per second that this host may send to a replica that warms up and that it
    /// owns; `None` if its service sets no limit.
    fn warm_up_quota(&self, service: &str) -> Option<usize> {
        self.warm_up(service).map(|warm_up| self.warm_up_limits.owner_quota(warm_up.requests_per_s))
    }

    fn owns_warm_up(&self, replica: &Replica) -> bool {
        *replica.data_centre == *self.data_centre
            && warm_up_owner(&replica.id, self.warm_up_owners) == Some(self.own)
    }
}

/// The targets of one service.
#[derive(Debug)]
struct ServiceTargets {
    service: Arc<str>,
    targets: Vec<Arc<Target>>,
}

/// The targets that requests may be sent to, sorted by service.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    services: Vec<ServiceTargets>,
    /// Targets that were removed during their backoff. Their entries may expire while
    /// the store is unavailable; a run that reappears inherits its backoff.
    removed_in_backoff: Vec<Arc<Target>>,
}

impl TargetSet {
    /// Builds the set for the given replicas; targets that are kept keep their state, the others
    /// are retired.
    pub(crate) fn rebuild<'a>(
        &self,
        now: Instant,
        replicas: impl Iterator<Item = &'a Replica>,
        options: TargetOptions<'_>,
    ) -> Self {
        let mut next = Self::default();
        for replica in replicas {
            // A replica that appears beside others of its service has just started, or was evacuated.
            let is_serving = !self.targets_of(&replica.service).is_empty();
            let known = self.targets_of(&replica.service).iter().find(|target| target.is_same(replica));
            let target = known.cloned().unwrap_or_else(|| {
                let target = Target::new(now, replica.clone(), options);
                if let Some(warm_up) = options.warm_up(&replica.service).filter(|_| is_serving) {
                    let duration = Duration::from_millis(warm_up.duration_ms);
                    target.state().warm_up.extend(now, duration);
                }
                if let Some(earlier) = self.removed_in_backoff.iter().find(|earlier| earlier.is_same(replica))
                {
                    target.state().load.inherit_backoff(&earlier.state().load);
                }
                Arc::new(target)
            });
            {
                let warm_up = &mut target.state().warm_up;
                warm_up.observe(now, replica);
                warm_up.set_quota(options.warm_up_quota(&replica.service));
                warm_up.set_owner(options.owns_warm_up(replica));
            }
            next.add(target);
        }
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            let is_kept =
                next.targets_of(&target.replica.service).iter().any(|kept| Arc::ptr_eq(kept, target));
            if !is_kept {
                target.retire();
            }
        }
        let removed =
            self.services.iter().flat_map(|entry| &entry.targets).filter(|target| target.is_retired());
        let in_backoff =
            removed.chain(&self.removed_in_backoff).filter(|target| !target.backoff_left(now).is_zero());
        next.removed_in_backoff = in_backoff.cloned().collect();
        next
    }

    fn add(&mut self, target: Arc<Target>) {
        let service = &target.replica.service;
        match self.services.binary_search_by(|entry| entry.service.cmp(service)) {
            Ok(at) => self.services[at].targets.push(target),
            Err(at) => {
                let entry = ServiceTargets { service: Arc::clone(service), targets: vec![target] };
                self.services.insert(at, entry);
            }
        }
    }

    /// Returns the targets of a service.
    pub(crate) fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        match self.services.binary_search_by(|entry| (*entry.service).cmp(service)) {
            Ok(at) => &self.services[at].targets,
            Err(_) => &[],
        }
    }

    /// Returns the targets in some data centres.
    pub(crate) fn in_data_centres(&self, is_wanted: impl Fn(&str) -> bool) -> Self {
        let mut wanted = Self::default();
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            if is_wanted(&target.replica.data_centre) {
                wanted.add(Arc::clone(target));
            }
        }
        wanted
    }

    /// Returns the totals over all targets.
    pub(crate) fn totals(&self, now: Instant) -> TargetTotals {
        let mut sum = TargetTotals::default();
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            let state = target.state();
            sum.targets += 1;
            sum.ejected += usize::from(state.load.is_ejected(now));
            sum.in_flight += state.load.in_flight();
            sum.connections += state.open_connections;
        }
        sum
    }

    /// Forgets the failures of all targets.
    pub(crate) fn forget_failures(&self) {
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            let mut state = target.state();
            state.load.forget_failures();
            // What could not be reached over this host's cut links may not have been down.
            state.unreachable_since = None;
        }
    }

    /// Returns the targets of all services.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.services.iter().flat_map(|entry| &entry.targets)
    }

    /// Draws at most `max` random targets.
    pub(crate) fn sample(&self, max: usize) -> Vec<Arc<Target>> {
        fastrand::choose_multiple(self.all().filter(|target| !target.is_retired()).cloned(), max)
    }

    /// Returns the names of the services with targets, sorted.
    pub(crate) fn services(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|entry| &*entry.service)
    }

    /// Returns the data centres with targets, sorted.
    pub(crate) fn data_centres(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> = Vec::new();
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            if let Err(at) = names.binary_search(&target.replica.data_centre) {
                names.insert(at, Arc::clone(&target.replica.data_centre));
            }
        }
        names
    }

    /// Returns whether a service has a target in a data centre.
    pub(crate) fn has_target_in(&self, service: &str, data_centre: &str) -> bool {
        self.targets_of(service).iter().any(|target| *target.replica.data_centre == *data_centre)
    }

    /// Returns the indices of the data centres with targets of a service, in sorted `names`.
    pub(crate) fn data_centres_of(&self, service: &str, names: &[Arc<str>]) -> Vec<usize> {
        let targets = self.targets_of(service).iter();
        let mut found: Vec<usize> =
            targets.filter_map(|target| names.binary_search(&target.replica.data_centre).ok()).collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Returns what a request may expect of a service's best target.
    ///
    /// `typical_latency` is that of the request's route.
    pub(crate) fn estimate(&self, now: Instant, service: &str, typical_latency: Duration) -> ShardEstimate {
        let until_room = |target: &Target| target.time_until_room(now);
        self.estimate_with(now, service, typical_latency, until_room)
    }

    /// Returns what a request may expect of a service's best target through a gatherer in another data
    /// centre. The gatherer has a share of the targets' limits, which this host does not know.
    pub(crate) fn estimate_remote(
        &self,
        now: Instant,
        service: &str,
        typical_latency: Duration,
    ) -> ShardEstimate {
        let until_room = |target: &Target| target.backoff_left(now);
        self.estimate_with(now, service, typical_latency, until_room)
    }

    fn estimate_with(
        &self,
        now: Instant,
        service: &str,
        typical_latency: Duration,
        until_room: impl Fn(&Target) -> Duration,
    ) -> ShardEstimate {
        let targets = self.targets_of(service);
        let has_room = |target: &&Arc<Target>| {
            !target.is_retired() && until_room(target).is_zero() && target.state().warm_up.admits(now)
        };
        let available = || targets.iter().filter(has_room).filter(|target| !target.is_ejected(now));
        let costs = available().map(|target| target.cost(now));
        let lowest = costs.min_by(f64::total_cmp).or((!targets.is_empty()).then_some(ALL_EJECTED_COST));
        let in_use = targets.iter().filter(|target| !target.is_retired());
        ShardEstimate {
            expected_latency: lowest.map(|cost| typical_latency.mul_f64(cost)),
            has_free_slot: available().any(|target| target.has_free_slot(now)),
            backoff_left: in_use.map(|target| until_room(target)).min().unwrap_or(Duration::ZERO),
        }
    }

    /// Returns whether a service has targets, and all of them are ejected.
    pub(crate) fn are_all_ejected(&self, now: Instant, service: &str) -> bool {
        let targets = self.targets_of(service);
        !targets.is_empty() && targets.iter().all(|target| target.is_ejected(now))
    }

    /// Returns how long until one of a service's targets accepts requests; zero if one does now.
    pub(crate) fn backoff_left(&self, now: Instant, service: &str) -> Duration {
        let targets = self.targets_of(service).iter().filter(|target| !target.is_retired());
        targets.map(|target| target.time_until_room(now)).min().unwrap_or(Duration::ZERO)
    }

    /// Sets the place of this host among those that share the limits which targets state.
    pub(crate) fn set_limit_shares(&self, now: Instant, share: impl Fn(&Replica) -> LimitShare) {
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            target.set_limit_share(now, || share(&target.replica));
        }
    }

    /// Returns whether a target of a service reported its load.
    pub(crate) fn has_load_reports(&self, service: &str) -> bool {
        self.targets_of(service).iter().any(|target| target.state().backlog.has_report())
    }

    /// Returns the mean load of a service's targets, by their latest reports.
    pub(crate) fn pooled_load(&self, now: Instant, service: &str) -> PooledLoad {
        let mut pool = PooledLoad::default();
        self.targets_of(service).iter().for_each(|target| pool.add(now, &target.state().backlog));
        pool
    }
}
