//! How a gather would run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::{QueryVerdict, ShardChoice, ShardEstimate};
use egret_routes::{GatherPlan, Route};

use super::{AdmissionVerdict, AdmissionView, GatherView, GathererView, Refusal, ShardView, millis};
use crate::{
    Mechanism,
    admission::query_arrival,
    answer::fan_out_options,
    caller_request::CallerRequest,
    clock::now,
    core::Core,
    delegate::{data_centres, gathers_itself, pick_gatherer_with},
    fan_out::{
        placement::first_filter,
        remote_gatherers::remote_groups,
        skipped::{RETRY_AFTER_DEFAULT, are_too_few, choose_services, estimate_services},
    },
    fan_out_options::FanOutOptions,
    gather::NO_TARGET_RETRY_AFTER,
    gather_options::GatherOptions,
    target_set::{PickFilter, no_jitter},
};

/// Explains how a gather would run.
pub(super) fn explain_gather(
    core: &Core,
    route: &Route,
    plan: &GatherPlan,
    req: &CallerRequest,
) -> GatherView {
    let answer_at = core.answer_due_after(route, req, None);
    let near = data_centres(core, plan, &req.homes);
    let gatherer = || pick_gatherer_with(core, &near, &[], &req.homes, no_jitter);
    let mut view = GatherView {
        gatherer: None,
        shards_min: plan.least_shards(),
        admission: None,
        refusal: None,
        shards: Vec::new(),
    };
    if !gathers_itself(core, &near)
        && let Some(gatherer) = gatherer()
    {
        view.gatherer = Some(GathererView::new(core, &gatherer));
        return view;
    }
    if core.is_cut_off() {
        let reason = "this host reaches no target, and no host that does is known";
        view.refusal = Some(Refusal::unavailable(NO_TARGET_RETRY_AFTER, reason));
        return view;
    }
    let options = FanOutOptions {
        may_use_remote_gatherers: true,
        ..fan_out_options(core, route, req, plan.least_shards(), answer_at)
    };
    let refusal = explain_admission(core, route, plan, req, answer_at, &mut view);
    let shards_refusal = explain_shards(core, plan, req, &options, &mut view);
    // A gather of one shard fails for lack of a target only after it has started, and is not offered to others.
    let may_be_offered = refusal.is_some() || plan.shards.len() > 1;
    view.refusal = refusal.or(shards_refusal);
    if view.refusal.is_some() && may_be_offered && core.is_enabled(Mechanism::ForwardBeforeRefusing) {
        view.gatherer = gatherer().map(|gatherer| GathererView::new(core, &gatherer));
    }
    view
}

/// Asks a copy of the admission, so that nothing is counted as started, queued or promised.
fn explain_admission(
    core: &Core,
    route: &Route,
    plan: &GatherPlan,
    req: &CallerRequest,
    answer_at: Instant,
    view: &mut GatherView,
) -> Option<Refusal> {
    if !core.is_enabled(Mechanism::QueryAdmission) {
        return None;
    }
    let now = now();
    let mut queries = core.admission().copy_of(now, plan.index_hash());
    let (limit, in_flight, queued) = queries.load();
    let options = GatherOptions { is_repeat: false, answer_at };
    let (verdict, wait_max, refused) = match queries.offer(now, query_arrival(core, route, req, options, 0)) {
        QueryVerdict::Start => (AdmissionVerdict::Start, None, None),
        QueryVerdict::Wait(until) => {
            (AdmissionVerdict::Wait, Some(until.saturating_duration_since(now)), None)
        }
        QueryVerdict::Refuse(after) => (AdmissionVerdict::Refuse, None, Some(after)),
    };
    let wait_max_ms = wait_max.map(millis);
    view.admission = Some(AdmissionView { limit, in_flight, queued, verdict, wait_max_ms });
    refused.map(|after| Refusal::unavailable(after, "the gather is not expected to start in time"))
}

fn explain_shards(
    core: &Core,
    plan: &GatherPlan,
    req: &CallerRequest,
    options: &FanOutOptions,
    view: &mut GatherView,
) -> Option<Refusal> {
    let now = now();
    let targets = core.targets_within(&req.homes);
    let shards = &plan.shards;
    let estimates = estimate_services(core, &targets, now, shards, options);
    let all = || (0..shards.len()).collect();
    let (asked, mut refusal): (Vec<usize>, _) = if shards.len() > 1 {
        match choose_services(core, &estimates, now, &options.limits) {
            ShardChoice::Ask(asked) => (asked, None),
            ShardChoice::Refuse(after) => {
                (Vec::new(), Some(Refusal::unavailable(after, "too many shards are overloaded")))
            }
        }
    } else {
        (all(), None)
    };
    let gatherers = core.gatherers_within(&req.homes);
    let mut by_gatherer = vec![None; shards.len()];
    for (data_centre, group) in remote_groups(core, &targets, shards, 0) {
        let gatherer = gatherers.pick_with(now, &[&data_centre], &[], PickFilter::NotEjected, no_jitter);
        for shard in group {
            by_gatherer[shard] = gatherer.as_ref().map(|gatherer| Arc::clone(&gatherer.replica.id));
        }
    }
    let mut obtainable = 0;
    let mut longest_backoff = Duration::ZERO;
    for (at, service) in shards.iter().enumerate() {
        let estimate = &estimates[at];
        let mut shard = ShardView {
            service: Arc::clone(service),
            target: None,
            gatherer: None,
            skipped: None,
            expected_ms: estimate.expected_latency.map(millis),
        };
        if asked.binary_search(&at).is_err() {
            shard.skipped = Some(skip_reason(estimate).to_owned());
        } else if let Some(gatherer) = by_gatherer[at].take() {
            shard.gatherer = Some(gatherer);
        } else if let Some(target) = targets.pick_with(now, &[service], &[], first_filter(None), no_jitter) {
            shard.target = Some(Arc::clone(&target.replica.id));
        } else {
            longest_backoff = longest_backoff.max(targets.backoff_left(now, service));
            shard.skipped = Some(skip_reason(estimate).to_owned());
        }
        obtainable += usize::from(shard.skipped.is_none());
        view.shards.push(shard);
    }
    if refusal.is_none() && shards.len() > 1 && are_too_few(core, obtainable, &options.limits) {
        let after = if longest_backoff.is_zero() { RETRY_AFTER_DEFAULT } else { longest_backoff };
        refusal = Some(Refusal::unavailable(after, "too few shards have a target that takes requests"));
    }
    if refusal.is_none() && obtainable == 0 {
        refusal = Some(Refusal::no_target(None));
    }
    refusal
}

fn skip_reason(estimate: &ShardEstimate) -> &'static str {
    if estimate.expected_latency.is_none() {
        "no target takes requests"
    } else if !estimate.backoff_left.is_zero() {
        "all targets are backed off or rate limited"
    } else {
        "overloaded: no free slot, and the part is expected too late"
    }
}
