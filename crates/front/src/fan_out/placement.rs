//! Placement of a request that needs one target: whether it is sent to the target that was picked.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::{GatherLimits, PlacementRequest, ReturnSchedule, refusal};

use super::FanOut;
use crate::{
    Mechanism,
    clock::now,
    request_work::RequestWork,
    target::Target,
    target_set::{PickFilter, TargetSet},
};

/// A request is hedged after this multiple of its expected cost at the earliest: a long request that takes as
/// long as expected gains nothing from a second one.
const HEDGE_COST_FACTOR: f64 = 1.5;
/// Callers wait at most their remaining time divided by this before they return.
const RETURN_DIVISOR: u32 = 3;
/// The share of the latency objective during which a request that targets refused for lack of room is
/// offered to them again; a refusal of the caller counts as prompt until then.
const PROMPT_SHARE: f64 = 0.25;

/// Returns the hedge delay of a request that is placed by its cost.
pub(super) fn hedge_delay(delay: Option<Duration>, work: Option<RequestWork>) -> Option<Duration> {
    let least = work.map_or(Duration::ZERO, |work| work.cost.mul_f64(HEDGE_COST_FACTOR));
    delay.map(|delay| delay.max(least))
}

/// Returns the work of a request that is placed by its cost: it needs one target, and the targets of its service
/// report their load.
pub(crate) fn placed_work(
    targets: &TargetSet,
    service: &str,
    work: Option<RequestWork>,
) -> Option<RequestWork> {
    work.filter(|_| targets.has_load_reports(service))
}

/// Returns which target the first attempt at a service is sent to.
pub(crate) fn first_filter(placed_work: Option<RequestWork>) -> PickFilter {
    placed_work.map_or(PickFilter::Any, PickFilter::EarliestCompletion)
}

/// Returns after what time the caller may return if the request is not to be sent to `target`, the best one.
pub(crate) fn expected_refusal(
    targets: &TargetSet,
    now: Instant,
    service: &str,
    target: &Target,
    work: RequestWork,
    limits: &GatherLimits,
) -> Option<Duration> {
    let pool = targets.pooled_load(now, service);
    let placement = target.placement(now, &work, pool);
    if !pool.is_known() && placement.full_left.is_zero() {
        return None;
    }
    let until_objective = limits.objective_at.saturating_duration_since(now);
    let request = PlacementRequest {
        mean_cost: work.mean_cost,
        is_cost_known: work.is_cost_known,
        objective: work.objective,
        until_objective: if work.is_late { Duration::ZERO } else { until_objective },
        until_deadline: limits.deadline.saturating_duration_since(now),
    };
    refusal(request, placement)
}

/// Returns after what time a caller may return that is refused now, and records that it was told so.
pub(crate) fn reserve_return(
    schedule: &mut ReturnSchedule,
    now: Instant,
    work: RequestWork,
    limits: &GatherLimits,
    earliest: Option<Duration>,
) -> Duration {
    // Callers wait no longer than this.
    let latest = limits.deadline.saturating_duration_since(now) / RETURN_DIVISOR;
    schedule.reserve(now, earliest.unwrap_or(work.mean_cost), latest)
}

impl FanOut<'_> {
    /// Returns after what time the caller may return if the request is not to be sent to `target`, the best
    /// one. A request that may have run is always sent, as its caller cannot be told that it did not.
    pub(super) fn refusal(&self, shard: usize, target: &Target) -> Option<Duration> {
        let work = self.placed_work?;
        if self.result.may_have_run || !self.core.is_enabled(Mechanism::EarlyRefusal) {
            return None;
        }
        self.expected_refusal(now(), shard, target, work)
    }

    fn expected_refusal(
        &self,
        now: Instant,
        shard: usize,
        target: &Target,
        work: RequestWork,
    ) -> Option<Duration> {
        let service = &self.services[shard];
        expected_refusal(&self.targets(), now, service, target, work, &self.options.limits)
    }

    /// Records that the request is not sent now. One that a target refused may be offered again shortly.
    pub(super) fn refuse_placement(&mut self, shard: usize, retry_after: Duration) {
        self.core.instruments.placement("refused");
        self.result.backoff_left = self.result.backoff_left.max(Some(retry_after));
        self.result.overload_detail =
            format!("no target is expected to complete it in time; time given: {retry_after:?}");
        self.progress.abandon_shard(shard);
        if self.delivered[shard] > 0 {
            self.skipped.push(shard);
        }
    }

    /// Returns whether a target can be sent the request now.
    pub(super) fn has_placement(&self, shard: usize) -> bool {
        let Some(work) = self.placed_work else { return false };
        let filter = PickFilter::EarliestCompletion(work);
        let target = self.targets().pick(now(), &[&self.services[shard]], &self.tried[shard], filter);
        target.is_some_and(|target| self.refusal(shard, &target).is_none())
    }

    /// Returns until when a request that is placed by its cost is offered again after targets refused it.
    pub(super) fn shed_retries_end(&self) -> Option<Instant> {
        self.placed_work.map(|work| self.req.arrived_at + work.objective.mul_f64(PROMPT_SHARE))
    }

    /// Returns how long a request is expected to wait for a slot of a target.
    pub(super) fn expected_wait(&self, shard: usize, target: &Arc<Target>) -> Duration {
        let Some(work) = self.options.work else { return Duration::ZERO };
        let now = now();
        let pool = self.targets().pooled_load(now, &self.services[shard]);
        target.placement(now, &work, pool).wait
    }

    /// Sets the time after which the caller may return, where the request was sent to no target or all targets
    /// refused it.
    pub(super) fn set_return_time(&mut self) {
        let Some(work) = self.placed_work else { return };
        let has_backoff = self.result.without_target > 0;
        if self.result.may_have_run || self.progress.received_parts() > 0 || has_backoff {
            return;
        }
        let now = now();
        let service = &self.services[0];
        let earliest = self.result.backoff_left.or_else(|| {
            let filter = PickFilter::EarliestCompletion(work);
            let target = self.targets().pick(now, &[service], &[], filter)?;
            self.expected_refusal(now, 0, &target, work)
        });
        let limits = &self.options.limits;
        let after = self
            .core
            .with_return_schedule(service, |schedule| reserve_return(schedule, now, work, limits, earliest));
        self.result.backoff_left = Some(after);
    }
}
