//! Gathers: one answer that is merged from the parts of many shards.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::Code;
use egret_policy::common_queue;
use egret_routes::{GatherPlan, Route, merge_top_records};
use hyper::{StatusCode, header::HeaderValue};
use tokio::sync::mpsc;

use crate::{
    Mechanism,
    admission::{AdmittedQuery, admit},
    answer::{elapsed_ms, fan_out_options, no_answer},
    caller_request::CallerRequest,
    clock::now,
    core::Core,
    delegate::{Delegation, HOST_LATENESS_MAX, delegate, delegate_elsewhere, has_spare_replicas},
    fan_out::fan_out,
    fan_out_result::FanOutResult,
    gather_call::GatherReply,
    gather_frames::Framed,
    gather_options::GatherOptions,
    memory_account::MemoryUse,
    parts_sender::PartsSender,
    reply::{self, CallerReply, DueAt},
};

/// After what time the caller of a host that reaches no target may retry. The retry reaches another host,
/// and one check of this host takes as long.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(250);

/// After what time the caller of a gather for which there is no memory may retry.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers a caller's request on a route that gathers: here, or through a gatherer near the targets.
pub(crate) async fn gather(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
) -> CallerReply {
    let answer_at = core.answer_due_at(route, req);
    let (outcome, due_at) = match delegate(core, route, plan, req, answer_at).await {
        Delegation::Done { reply, ready_at } => {
            core.instruments.gather("other");
            (reply, ready_at.map(|ready_at| ready_at.min(answer_at)))
        }
        Delegation::Local { is_repeat } => {
            let options = GatherOptions { is_repeat, answer_at };
            gather_locally(core, route, plan, req, options).await
        }
    };
    if let Some(come_back_ms) = outcome.come_back_ms {
        let reason = "too few shards can be asked now: come back later";
        let secs = come_back_ms as f64 / 1000.0;
        return reply::refused(StatusCode::SERVICE_UNAVAILABLE, reason, Some(secs));
    }
    if !outcome.is_enough {
        return no_answer(req, route, outcome.may_have_run, None);
    }
    core.instruments.gather_end(plan.shards.len().saturating_sub(outcome.receipts.len()), outcome.extra);
    let receipts: Vec<HeaderValue> =
        outcome.receipts.iter().filter_map(|(_, receipt)| HeaderValue::from_bytes(receipt).ok()).collect();
    let missing = plan.shards.len().saturating_sub(receipts.len());
    if receipts.len() != outcome.receipts.len() || receipts.len() < plan.least_shards() {
        req.log(Code::RequestFailed, "the receipts of a gather are no valid header values, or too few");
        return reply::refused(StatusCode::BAD_GATEWAY, "the answer was damaged on its way: try again", None);
    }
    if missing == 0 {
        core.suspects().record_answer(now(), req.fingerprint);
    }
    let mut reply = reply::gathered(req, &core.options.headers, &receipts, missing, outcome.records);
    if let Some(due_at) = due_at {
        reply.extensions_mut().insert(DueAt(due_at));
    }
    reply
}

/// Gathers on this host; returns the reply, and the time from which a delay in sending it is due to
/// this host, or `None` if its parts were late.
///
/// A gather that this host would refuse before sending any request is forwarded to another host
/// first: a host knows only its own share of the targets' load, and what it knows of shards that
/// others skipped is a moment old.
async fn gather_locally(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    options: GatherOptions,
) -> (GatherReply, Option<Instant>) {
    core.instruments.gather("self");
    let answer_at = options.answer_at;
    if core.is_cut_off() {
        req.log(
            Code::RequestRefused,
            &format!("route {}: no host that reaches the targets is known", route.name),
        );
        let come_back_ms = (!options.is_repeat).then_some(NO_TARGET_RETRY_AFTER.as_millis() as u64);
        return (
            GatherReply { may_have_run: options.is_repeat, come_back_ms, ..GatherReply::not_run() },
            None,
        );
    }
    let reply = run_gather(core, route, plan, req, options).await;
    if let Some(is_repeat) = should_gather_elsewhere(core, route, plan, req, options, &reply) {
        let options = GatherOptions { is_repeat, answer_at };
        let refused_after = reply.come_back_ms.filter(|_| !is_repeat).map(Duration::from_millis);
        match delegate_elsewhere(core, route, plan, req, options, refused_after).await {
            Delegation::Done { reply, ready_at } => {
                core.instruments.gather("other");
                return (reply, ready_at.map(|ready_at| ready_at.min(answer_at)));
            }
            Delegation::Local { is_repeat: true } => {
                return (GatherReply { may_have_run: true, ..GatherReply::not_run() }, None);
            }
            Delegation::Local { is_repeat: false } => {}
        }
    }
    let ready_at = now();
    (reply, (ready_at < answer_at + HOST_LATENESS_MAX).then_some(ready_at.min(answer_at)))
}

/// Returns whether another host should gather after this one failed, and if so, whether the request may
/// have been sent to targets.
fn should_gather_elsewhere(
    core: &Core,
    route: &Route,
    plan: &GatherPlan,
    req: &CallerRequest,
    options: GatherOptions,
    reply: &GatherReply,
) -> Option<bool> {
    let may_have_run = reply.may_have_run || options.is_repeat;
    let is_refused = reply.come_back_ms.is_some() && !may_have_run;
    if is_refused && core.is_enabled(Mechanism::ForwardBeforeRefusing) {
        return Some(false);
    }
    // This host lost the targets after it had sent the request to some of them.
    let has_failed = !reply.is_enough && core.is_partitioned();
    (has_failed && !has_spare_replicas(core, route, plan, &req.homes)).then_some(may_have_run)
}

/// Gathers the parts of all shards from this host, some of them through other gatherers.
pub(crate) async fn run_gather(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    options: GatherOptions,
) -> GatherReply {
    let mut admitted = match admit(core, route, plan, req, options).await {
        Ok(admitted) => admitted,
        Err(come_back) => {
            let come_back_ms = Some(come_back.as_millis() as u64);
            return GatherReply { come_back_ms, ..GatherReply::not_run() };
        }
    };
    let Some(_tasks) = core.charge_part_tasks(plan.shards.len()).await else {
        req.log(Code::RequestRefused, &format!("route {}: no memory for the tasks of its parts", route.name));
        let come_back_ms = (!options.is_repeat).then_some(NO_MEMORY_RETRY_AFTER.as_millis() as u64);
        return GatherReply { may_have_run: options.is_repeat, come_back_ms, ..GatherReply::not_run() };
    };
    let mut fan_options = fan_out_options(core, route, req, plan.least_shards(), options.answer_at);
    fan_options.limits.attempts_max = attempts_left(core, route, plan, req, options);
    fan_options.is_repeat = options.is_repeat;
    fan_options.may_use_remote_gatherers = true;
    fan_options.may_spread = !options.is_repeat && admitted.as_ref().is_none_or(AdmittedQuery::leaves_room);
    let result = fan_out(core, req, route, &plan.shards, fan_options, None).await;
    // A gather without any part says nothing about durations and queues.
    if let Some(admitted) = &mut admitted
        && (result.is_enough || !result.queued_per_slot.is_empty())
    {
        let queue = common_queue(&result.queued_per_slot);
        core.instruments.host_delay(result.host_delay);
        admitted.report(queue, fan_options.typical_latency, result.host_delay);
    }
    log_result(req, route, &result);
    let receipts = result.receipts().into_iter().map(|(at, receipt)| (at as u32, receipt)).collect();
    let reply = GatherReply {
        is_last: true,
        held_us: 0,
        is_enough: result.is_enough,
        extra: result.extra_attempts,
        may_have_run: result.may_have_run,
        come_back_ms: result
            .overload_retry_after
            .filter(|_| !result.may_have_run)
            .map(|after| after.as_millis() as u64),
        overloaded: Vec::new(),
        not_asked: Vec::new(),
        receipts,
        records: merge_top_records(&result.records(), plan.top_k),
    };
    hold_reply(core, req, reply)
}

/// Charges a reply until its records are dropped. Its receipts are held as long as they are: in the head of the answer
/// or in the message to another host. Without memory, the parts are lost.
fn hold_reply(core: &Core, req: &CallerRequest, reply: GatherReply) -> GatherReply {
    let receipts: usize = reply.receipts.iter().map(|(_, receipt)| receipt.len()).sum();
    let bytes = reply.records.len() + receipts;
    if bytes == 0 {
        // A refusal must not turn into a failure that may have run.
        return reply;
    }
    match core.memory.charge(MemoryUse::Answers, bytes) {
        Some(charge) => reply.hold(charge),
        None => {
            req.log(Code::RequestFailed, "no memory for the merged parts");
            GatherReply { may_have_run: true, ..GatherReply::not_run() }
        }
    }
}

/// Gathers the parts of some shards for another gatherer.
///
/// The parts that arrive until shortly before the latency objective are sent in one reply, later ones
/// one by one; the other gatherer decides when it has enough. The last reply is returned.
pub(crate) async fn run_parts(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    shards: &[u32],
    options: GatherOptions,
    replies: mpsc::UnboundedSender<GatherReply>,
) -> GatherReply {
    let wanted = |at: &u32| plan.shards.get(*at as usize).cloned();
    let services: Vec<Arc<str>> = shards.iter().filter_map(wanted).collect();
    if services.len() != shards.len() {
        return GatherReply::not_run();
    }
    let Some(_tasks) = core.charge_part_tasks(services.len()).await else {
        let not_asked = shards.to_vec();
        return GatherReply { may_have_run: options.is_repeat, not_asked, ..GatherReply::not_run() };
    };
    let mut fan_options = fan_out_options(core, route, req, 0, options.answer_at);
    fan_options.limits.attempts_max = attempts_left(core, route, plan, req, options);
    fan_options.is_repeat = options.is_repeat;
    let parts_sender = PartsSender::new(&fan_options.limits, shards, plan.top_k, replies);
    let result = fan_out(core, req, route, &services, fan_options, Some(parts_sender)).await;
    log_result(req, route, &result);
    let reply = result
        .parts_sender
        .as_ref()
        .map_or_else(GatherReply::not_run, |parts_sender| parts_sender.last_reply(&result));
    hold_reply(core, req, reply)
}

/// Returns how many replicas of each shard this host may send a gather to.
///
/// A gatherer that accepted it late may send it to one replica of each shard before it sees that the sender has given up.
/// That one counts, as it may be another than those that this host chooses.
fn attempts_left(
    core: &Core,
    route: &Route,
    plan: &GatherPlan,
    req: &CallerRequest,
    options: GatherOptions,
) -> usize {
    let attempts_max = route.attempts_max.max(1) as usize;
    let may_exceed = options.is_repeat && has_spare_replicas(core, route, plan, &req.homes);
    if may_exceed { (attempts_max - 1).max(1) } else { attempts_max }
}

fn log_result(req: &CallerRequest, route: &Route, result: &FanOutResult) {
    let all = result.parts.len();
    let missing = all - result.receipts().len();
    if result.is_enough && missing == 0 {
        return;
    }
    if let Some(after) = result.overload_retry_after {
        let detail = format!(
            "route {}: too many shards are overloaded ({}); the caller may retry after {after:?}",
            route.name, result.overload_detail
        );
        req.log(Code::RequestRefused, &detail);
        return;
    }
    let code = if result.is_enough { Code::AnswerPartial } else { Code::RequestFailed };
    let detail = format!(
        "route {}: {missing} of {all} shards missing after {} ms: {}",
        route.name,
        elapsed_ms(req),
        result.summary()
    );
    req.log(code, &detail);
}
