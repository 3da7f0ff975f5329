//! Gathers: one answer out of the parts of many shards.

use std::{sync::Arc, time::Instant};

use egret_events::Code;
use egret_routes::{GatherPlan, Route, merge_top_records};
use hyper::{StatusCode, header::HeaderValue};
use tokio::sync::mpsc;

use crate::{
    Mechanism,
    answer::{elapsed_ms, fan_out_options, no_answer},
    caller_request::CallerRequest,
    clock::now,
    core::Core,
    delegate::{Delegation, HOST_LATENESS_MAX, delegate, delegate_elsewhere},
    fan_out::fan_out,
    fan_out_result::FanOutResult,
    gather_call::GatherReply,
    gather_options::GatherOptions,
    parts_sender::PartsSender,
    reply::{self, CallerReply, DueAt},
};

/// Answers a caller's request for the parts of many shards.
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
        let reason = "too many shards are overloaded: come back later";
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
        req.log(Code::RequestFailed, "receipts of a gather cannot be passed on");
        return reply::refused(StatusCode::BAD_GATEWAY, "the answer was damaged on its way: try again", None);
    }
    let mut reply = reply::gathered(req, &core.options.headers, &receipts, missing, outcome.records);
    if let Some(due_at) = due_at {
        reply.extensions_mut().insert(DueAt(due_at));
    }
    reply
}

/// Asks the targets of all shards from this host; returns the reply, and when it was due where that
/// says something of this host.
///
/// What this host would refuse without having asked anybody goes to another one: a host knows only
/// its own share of the targets' load, and was told what others left out a moment ago.
async fn gather_locally(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    options: GatherOptions,
) -> (GatherReply, Option<Instant>) {
    core.instruments.gather("self");
    let answer_at = options.answer_at;
    let reply = run_gather(core, route, plan, req, options).await;
    let is_untouched = reply.come_back_ms.is_some() && !reply.may_have_run && !options.is_repeat;
    if is_untouched && core.is_enabled(Mechanism::ForwardBeforeRefusing) {
        match delegate_elsewhere(core, route, plan, req, answer_at).await {
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

/// Asks the targets of all shards from this host.
pub(crate) async fn run_gather(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    options: GatherOptions,
) -> GatherReply {
    core.count_parts(plan.shards.len());
    let mut fan_options = fan_out_options(core, route, req, plan.least_shards(), options.answer_at);
    fan_options.is_repeat = options.is_repeat;
    fan_options.may_use_remote_gatherers = true;
    let end = fan_out(core, req, route, &plan.shards, fan_options, None).await;
    log_end(req, route, &end);
    let receipts = end.receipts().into_iter().map(|(at, receipt)| (at as u32, receipt)).collect();
    GatherReply {
        is_last: true,
        held_us: 0,
        is_enough: end.is_enough,
        extra: end.extra_attempts,
        may_have_run: end.may_have_run,
        come_back_ms: end.overload_retry_after.map(|after| after.as_millis() as u64),
        overloaded: Vec::new(),
        not_asked: Vec::new(),
        receipts,
        records: merge_top_records(&end.records(), plan.top_k),
    }
}

/// Asks the targets of some shards for a gatherer of another data centre.
///
/// What is in shortly before the goal is sent as a reply of its own, and each part after it;
/// the other gatherer knows when it has enough. The last reply is returned.
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
    core.count_parts(services.len());
    let mut fan_options = fan_out_options(core, route, req, 0, options.answer_at);
    fan_options.is_repeat = options.is_repeat;
    let parts_sender = PartsSender::new(&fan_options.limits, shards, plan.top_k, replies);
    let end = fan_out(core, req, route, &services, fan_options, Some(parts_sender)).await;
    log_end(req, route, &end);
    end.parts_sender.as_ref().map_or_else(GatherReply::not_run, |parts_sender| parts_sender.last_reply(&end))
}

fn log_end(req: &CallerRequest, route: &Route, end: &FanOutResult) {
    let all = end.parts.len();
    let missing = all - end.receipts().len();
    if end.is_enough && missing == 0 {
        return;
    }
    if let Some(after) = end.overload_retry_after {
        let detail = format!("route {}: overloaded, come back after {after:?}", route.name);
        req.log(Code::RequestRefused, &detail);
        return;
    }
    let code = if end.is_enough { Code::AnswerPartial } else { Code::RequestFailed };
    let detail = format!(
        "route {} without {missing} of {all} shards, after {} ms: {}",
        route.name,
        elapsed_ms(req),
        end.summary()
    );
    req.log(code, &detail);
}
