//! All targets that may get new work, by service.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::ShardEstimate;
use egret_routes::Replica;

use crate::target::Target;

/// How much more a target in another data centre must be worth; the way there costs bytes.
const REMOTE_FACTOR: f64 = 2.0;
/// What a target that is avoided is expected to take, in usual latencies.
const AVOIDED_COST: f64 = 20.0;
/// Hosts that know the same must not all choose the same target: costs differ by up to this share.
const JITTER: f64 = 0.1;

/// The state of all targets together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetTotals {
    pub(crate) targets: usize,
    pub(crate) avoided: usize,
    pub(crate) in_flight: usize,
    pub(crate) connections: usize,
}

/// Which targets will do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PickFilter {
    /// Any, the avoided ones last.
    Any,
    /// Those that are not avoided.
    NotAvoided,
    /// Those that are not avoided and cost no more than this, in usual latencies.
    MaxCost(f64),
}

/// How targets are seen from a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetOptions<'a> {
    /// The host's data centre.
    pub(crate) data_centre: &'a str,
    /// Whether it counts that they were slow.
    pub(crate) weigh_latency: bool,
    /// Whether those that fail get no work for a while.
    pub(crate) avoid_failing: bool,
}

/// The targets of one service.
#[derive(Debug)]
struct ServiceTargets {
    service: Arc<str>,
    targets: Vec<Arc<Target>>,
}

/// All targets that may get new work, sorted by service.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    services: Vec<ServiceTargets>,
    /// Targets that were removed while they wanted nothing. Entries may lapse while the store is
    /// away; a run that comes back is still closed.
    removed_in_backoff: Vec<Arc<Target>>,
}

impl TargetSet {
    /// Builds the set for the usable replicas; targets that stay keep their state.
    pub(crate) fn rebuild<'a>(
        &self,
        now: Instant,
        replicas: impl Iterator<Item = &'a Replica>,
        options: TargetOptions<'_>,
    ) -> Self {
        let mut next = Self::default();
        for replica in replicas {
            let known = self.targets_of(&replica.service).iter().find(|target| target.is_same(replica));
            let target = known.cloned().unwrap_or_else(|| {
                let target = Target::new(replica.clone(), options);
                if let Some(earlier) = self.removed_in_backoff.iter().find(|earlier| earlier.is_same(replica))
                {
                    target.state().load.inherit_backoff(&earlier.state().load);
                }
                Arc::new(target)
            });
            next.add(target);
        }
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            let stays = next.targets_of(&target.replica.service).iter().any(|kept| Arc::ptr_eq(kept, target));
            if !stays {
                target.retire();
            }
        }
        let removed =
            self.services.iter().flat_map(|entry| &entry.targets).filter(|target| target.is_retired());
        let closed =
            removed.chain(&self.removed_in_backoff).filter(|target| !target.backoff_left(now).is_zero());
        next.removed_in_backoff = closed.cloned().collect();
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

    /// Returns the state of all targets together.
    pub(crate) fn totals(&self, now: Instant) -> TargetTotals {
        let mut sum = TargetTotals::default();
        for target in self.services.iter().flat_map(|entry| &entry.targets) {
            let state = target.state();
            sum.targets += 1;
            sum.avoided += usize::from(state.load.is_avoided(now));
            sum.in_flight += state.load.in_flight();
            sum.connections += state.open_connections;
        }
        sum
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

    /// Tells whether a service has a target in a data centre.
    pub(crate) fn has_target_in(&self, service: &str, data_centre: &str) -> bool {
        self.targets_of(service).iter().any(|target| *target.replica.data_centre == *data_centre)
    }

    /// Returns which of some sorted data centres hold targets of a service.
    pub(crate) fn data_centres_of(&self, service: &str, names: &[Arc<str>]) -> Vec<usize> {
        let targets = self.targets_of(service).iter();
        let mut found: Vec<usize> =
            targets.filter_map(|target| names.binary_search(&target.replica.data_centre).ok()).collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Returns what a request may expect of a service's best target.
    pub(crate) fn outlook(&self, now: Instant, service: &str, typical_latency: Duration) -> ShardEstimate {
        let targets = self.targets_of(service);
        let usable =
            || targets.iter().filter(|target| target.accepts_requests(now) && !target.is_avoided(now));
        let costs = usable().map(|target| target.cost(now));
        let least = costs.min_by(f64::total_cmp).or((!targets.is_empty()).then_some(AVOIDED_COST));
        ShardEstimate {
            expected_latency: least.map(|cost| typical_latency.mul_f64(cost)),
            has_free_slot: usable().any(|target| target.has_free_slot(now)),
            backoff_left: self.backoff_left(now, service),
        }
    }

    /// Returns how long it takes until a target of a service wants work; zero where one does.
    pub(crate) fn backoff_left(&self, now: Instant, service: &str) -> Duration {
        let targets = self.targets_of(service).iter().filter(|target| !target.is_retired());
        targets.map(|target| target.backoff_left(now)).min().unwrap_or(Duration::ZERO)
    }

    /// Returns the best target of some services that was not tried yet.
    pub(crate) fn pick(
        &self,
        now: Instant,
        services: &[&str],
        tried: &[Arc<str>],
        filter: PickFilter,
    ) -> Option<Arc<Target>> {
        let all = services.iter().flat_map(|service| self.targets_of(service));
        let untried =
            all.filter(|target| target.accepts_requests(now) && !tried.contains(&target.replica.id));
        let quickest = untried.clone().map(|target| target.slowness(now)).fold(1.0, f64::min);
        let rank = |target: &Arc<Target>| {
            let distance = if target.is_local { 1.0 } else { REMOTE_FACTOR };
            let jitter = 1.0 + JITTER * fastrand::f64();
            (target.is_avoided(now), target.cost_with_prior(now, quickest) * distance * jitter)
        };
        untried
            .map(|target| (rank(target), target))
            .filter(|((is_avoided, _), target)| match filter {
                PickFilter::Any => true,
                PickFilter::NotAvoided => !is_avoided,
                PickFilter::MaxCost(cost) => !is_avoided && target.cost(now) <= cost,
            })
            .min_by(|((a_avoided, a), _), ((b_avoided, b), _)| a_avoided.cmp(b_avoided).then(a.total_cmp(b)))
            .map(|(_, target)| Arc::clone(target))
    }
}
