//! Where a request that needs one target would be sent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_routes::{Replica, Route};

use super::{CostView, GathererView, Refusal, ServiceView, TargetCondition, TargetView, millis};
use crate::{
    Mechanism,
    answer::fan_out_options,
    caller_request::CallerRequest,
    clock::now,
    core::Core,
    delegate::pick_gatherer_with,
    excluded_replica::ExcludedReplica,
    fan_out::placement::{expected_refusal, first_filter, placed_work, reserve_return},
    fan_out_options::FanOutOptions,
    target::Target,
    target_set::{TargetSet, no_jitter},
};

/// Explains where a request to one target of a service would be sent.
pub(super) fn explain_service(
    core: &Core,
    route: &Route,
    service: &Arc<str>,
    weight: Option<f64>,
    req: &CallerRequest,
) -> ServiceView {
    let now = now();
    let options = fan_out_options(core, route, req, 1, core.answer_due_after(route, req, None));
    let targets = core.targets_within(&req.homes);
    let work = placed_work(&targets, service, options.work);
    let mut view = ServiceView {
        service: Arc::clone(service),
        weight,
        cost: options.work.map(|work| CostView {
            expected_ms: millis(work.cost),
            level: core.cost_level(route, req),
            mean_ms: millis(work.mean_cost),
        }),
        by_completion: work.is_some(),
        targets: target_views(core, &targets, now, service, &options),
        chosen: None,
        forwarded_to: None,
        refusal: None,
    };
    if core.is_partitioned() {
        let near = [Arc::clone(&core.options.data_centre)];
        if let Some(gatherer) = pick_gatherer_with(core, &near, &[], &req.homes, no_jitter) {
            view.forwarded_to = Some(GathererView::new(core, &gatherer));
            return view;
        }
        if core.is_cut_off() {
            view.refusal = Some(Refusal::no_target(None));
            return view;
        }
    }
    let Some(target) = targets.pick_with(now, &[service], &[], first_filter(work), no_jitter) else {
        let backoff_left = Some(targets.backoff_left(now, service)).filter(|left| !left.is_zero());
        view.refusal = Some(Refusal::no_target(backoff_left));
        return view;
    };
    let limits = &options.limits;
    let refused = work.filter(|_| core.is_enabled(Mechanism::EarlyRefusal)).and_then(|work| {
        let earliest = expected_refusal(&targets, now, service, &target, work, limits)?;
        // The schedule is a copy, so that no return is reserved.
        Some(reserve_return(&mut core.return_schedule(service), now, work, limits, Some(earliest)))
    });
    match refused {
        Some(after) => {
            let reason = "no target is expected to complete the request in time";
            view.refusal = Some(Refusal::unavailable(after, reason));
        }
        None => view.chosen = Some(Arc::clone(&target.replica.id)),
    }
    view
}

/// Describes the targets of a service, the preferred ones first, and then those that get no requests.
fn target_views(
    core: &Core,
    targets: &TargetSet,
    now: Instant,
    service: &str,
    options: &FanOutOptions,
) -> Vec<TargetView> {
    let services = [service];
    let filter = first_filter(placed_work(targets, service, options.work));
    let mut ranked: Vec<_> = targets.ranked(now, &services, &[], filter, no_jitter).collect();
    ranked.sort_by(|(a, _), (b, _)| a.order(b));
    let best = ranked.first().map(|(rank, _)| *rank);
    let view = |target: &Target, may_be_chosen| target_view(targets, now, target, options, may_be_chosen);
    let mut views: Vec<TargetView> = ranked
        .iter()
        .map(|(rank, target)| view(target, best.is_some_and(|best| rank.may_precede(&best))))
        .collect();
    let is_ranked = |target: &Arc<Target>| ranked.iter().any(|(_, other)| Arc::ptr_eq(other, target));
    let others = targets.targets_of(service).iter().filter(|target| !is_ranked(target));
    views.extend(others.map(|target| view(target, false)));
    let all = core.targets.load();
    let is_within =
        |target: &Arc<Target>| targets.targets_of(service).iter().any(|at| Arc::ptr_eq(at, target));
    let outside = all.targets_of(service).iter().filter(|target| !is_within(target));
    views.extend(outside.map(|target| excluded_view(&target.replica, TargetCondition::OutsideHomes)));
    let excluded = core.excluded();
    let excluded = excluded.iter().filter(|excluded| *excluded.replica.service == *service);
    views.extend(excluded.map(|ExcludedReplica { replica, is_evacuated }| {
        let condition = if *is_evacuated { TargetCondition::Evacuated } else { TargetCondition::Draining };
        excluded_view(replica, condition)
    }));
    views
}

fn target_view(
    targets: &TargetSet,
    now: Instant,
    target: &Target,
    options: &FanOutOptions,
    may_be_chosen: bool,
) -> TargetView {
    let pool = targets.pooled_load(now, &target.replica.service);
    let placed = placed_work(targets, &target.replica.service, options.work);
    let placement = placed.map(|work| target.placement(now, &work, pool));
    let conditions = conditions(target, now);
    let until_room = target.time_until_room(now);
    let typical_cost = target.cost(now);
    let state = target.state();
    let backlog = options.work.map(|work| state.backlog.pending_work(now, work.mean_cost, pool));
    let slowness = if placement.is_some() { state.work_slowness(now) } else { state.load.slowness(now) };
    let completion =
        placement.map_or_else(|| options.typical_latency.mul_f64(typical_cost), |at| at.completion);
    TargetView {
        conditions,
        until_room_ms: millis(until_room),
        backlog_ms: backlog.map(millis),
        slowness: Some((slowness * 100.0).round() / 100.0),
        completion_ms: Some(millis(completion)),
        may_be_chosen,
        ..excluded_view(&target.replica, TargetCondition::Ready)
    }
}

fn excluded_view(replica: &Replica, condition: TargetCondition) -> TargetView {
    TargetView {
        id: Arc::clone(&replica.id),
        address: replica.address,
        data_centre: Arc::clone(&replica.data_centre),
        conditions: vec![condition],
        until_room_ms: 0.0,
        backlog_ms: None,
        slowness: None,
        completion_ms: None,
        may_be_chosen: false,
    }
}

fn conditions(target: &Target, now: Instant) -> Vec<TargetCondition> {
    let backoff_left = target.backoff_left(now);
    let is_ejected = target.is_ejected(now);
    let until_room = target.time_until_room(now);
    let state = target.state();
    let all = [
        (target.is_retired(), TargetCondition::Draining),
        (is_ejected, TargetCondition::Ejected),
        (!backoff_left.is_zero(), TargetCondition::BackedOff),
        (until_room > backoff_left, TargetCondition::RateLimited),
        (state.warm_up.is_cold(now), TargetCondition::Cold),
        (state.backlog.full_left(now) > Duration::ZERO, TargetCondition::Full),
    ];
    let mut found: Vec<TargetCondition> =
        all.into_iter().filter(|(holds, _)| *holds).map(|(_, condition)| condition).collect();
    if found.is_empty() {
        found.push(TargetCondition::Ready);
    }
    found
}
