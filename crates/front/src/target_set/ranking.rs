//! The order in which targets are preferred for a request.

use std::{cmp::Ordering, sync::Arc, time::Instant};

use super::{PickFilter, TargetSet};
use crate::target::Target;

/// How many times a remote target's cost counts: one in another data centre is picked only if it is
/// that much cheaper, as traffic between data centres costs bandwidth.
const REMOTE_COST_FACTOR: f64 = 2.0;
/// Costs are raised at random by up to this share, so that hosts with the same information do not
/// all pick the same target.
const COST_JITTER: f64 = 0.1;

/// Returns a random factor for the cost of one target.
pub(crate) fn random_jitter() -> f64 {
    1.0 + COST_JITTER * fastrand::f64()
}

/// Leaves costs as they are, to explain a choice without drawing a random number.
pub(crate) fn no_jitter() -> f64 {
    1.0
}

/// How a target compares with others for one request; the least rank is picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TargetRank {
    /// Whether it is picked only if there is no other.
    pub(crate) is_avoided: bool,
    /// In seconds for a request that is placed by its cost, otherwise in typical latencies.
    pub(crate) cost: f64,
}

impl TargetRank {
    pub(crate) fn order(&self, other: &Self) -> Ordering {
        self.is_avoided.cmp(&other.is_avoided).then(self.cost.total_cmp(&other.cost))
    }

    /// Returns whether the random factor may give this target preference over the best one.
    pub(crate) fn may_precede(&self, best: &Self) -> bool {
        self.is_avoided == best.is_avoided && self.cost <= best.cost * (1.0 + COST_JITTER)
    }
}

impl TargetSet {
    /// Returns the cheapest target of some services that was not tried yet and passes the filter.
    pub(crate) fn pick(
        &self,
        now: Instant,
        services: &[&str],
        tried: &[Arc<str>],
        filter: PickFilter,
    ) -> Option<Arc<Target>> {
        self.pick_with(now, services, tried, filter, random_jitter)
    }

    /// Picks a target as [`Self::pick`] does, with this jitter of the costs.
    pub(crate) fn pick_with(
        &self,
        now: Instant,
        services: &[&str],
        tried: &[Arc<str>],
        filter: PickFilter,
        jitter: fn() -> f64,
    ) -> Option<Arc<Target>> {
        let ranked = self.ranked(now, services, tried, filter, jitter);
        ranked.min_by(|(a, _), (b, _)| a.order(b)).map(|(_, target)| Arc::clone(target))
    }

    /// Returns the targets of some services that were not tried yet and pass the filter, with their ranks.
    ///
    /// A target without samples is assumed to be as fast as the fastest known one, so that it gets
    /// requests and with them samples.
    pub(crate) fn ranked<'a>(
        &'a self,
        now: Instant,
        services: &'a [&'a str],
        tried: &'a [Arc<str>],
        filter: PickFilter,
        jitter: fn() -> f64,
    ) -> impl Iterator<Item = (TargetRank, &'a Arc<Target>)> {
        let all = services.iter().flat_map(|service| self.targets_of(service));
        let untried =
            all.filter(move |target| target.accepts_requests(now) && !tried.contains(&target.replica.id));
        let lowest_slowness = untried.clone().map(|target| target.slowness(now)).fold(1.0, f64::min);
        let pool = filter.work().zip(services.first()).map(|(_, service)| self.pooled_load(now, service));
        untried.filter_map(move |target| {
            let is_ejected = target.is_ejected(now);
            let placement = filter.work().zip(pool).map(|(work, pool)| target.placement(now, work, pool));
            if !filter.admits(now, is_ejected, target, placement) {
                return None;
            }
            let rank = match placement {
                Some(placement) => TargetRank {
                    is_avoided: is_ejected || !placement.full_left.is_zero(),
                    cost: placement.completion.as_secs_f64() * target.failure_factor(now) * jitter(),
                },
                None => {
                    let distance = if target.is_local { 1.0 } else { REMOTE_COST_FACTOR };
                    let cost = target.cost_with_prior(now, lowest_slowness) * distance * jitter();
                    TargetRank { is_avoided: is_ejected, cost }
                }
            };
            Some((rank, target))
        })
    }
}
