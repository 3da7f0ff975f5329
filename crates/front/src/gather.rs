//! Gathers: one answer out of the parts of many shards.

use std::sync::Arc;

use bytes::Bytes;
use egret_events::{Code, log_decision};
use egret_routes::{GatherPlan, Route, greatest};
use hyper::{StatusCode, header::HeaderValue};

use crate::{
    answer::{elapsed_ms, fan_rules, no_answer},
    caller_request::CallerRequest,
    core::Core,
    delegate::{Delegated, delegate},
    fan::{FanEnd, fan},
    gather_call::GatherReply,
    reply::{self, CallerReply},
};

/// Answers a caller's request for the parts of many shards.
pub(crate) async fn gather(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
) -> CallerReply {
    let outcome = match delegate(core, route, plan, req).await {
        Delegated::Done(outcome) => outcome,
        Delegated::Here { is_repeat } => run_gather(core, route, plan, req, is_repeat).await,
    };
    if let Some(come_back_ms) = outcome.come_back_ms {
        let reason = "too many shards are overloaded: come back later";
        let secs = come_back_ms as f64 / 1000.0;
        return reply::refused(StatusCode::SERVICE_UNAVAILABLE, reason, Some(secs));
    }
    if !outcome.is_enough {
        return no_answer(req, route, outcome.may_have_run);
    }
    let receipts: Vec<HeaderValue> =
        outcome.receipts.iter().filter_map(|receipt| HeaderValue::from_bytes(receipt).ok()).collect();
    let missing = plan.shards.len().saturating_sub(receipts.len());
    if receipts.len() != outcome.receipts.len() || receipts.len() < plan.least_shards() {
        log_decision(Code::RequestFailed, req.id_text(), "receipts of a gather cannot be passed on");
        return reply::refused(StatusCode::BAD_GATEWAY, "the answer was damaged on its way: try again", None);
    }
    reply::gathered(req, &core.options.headers, &receipts, missing, outcome.records)
}

/// Asks the targets of all shards from this host.
pub(crate) async fn run_gather(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    is_repeat: bool,
) -> GatherReply {
    core.count_parts(plan.shards.len());
    let mut rules = fan_rules(core, route, req, plan.least_shards());
    rules.is_repeat = is_repeat;
    let end = fan(core, req, route, &plan.shards, rules).await;
    log_end(req, route, &end);
    let parts: Vec<_> = end.parts.iter().flatten().collect();
    let receipts = parts.iter().filter_map(|part| part.receipt.as_ref());
    let receipts = receipts.map(|receipt| Bytes::copy_from_slice(receipt.as_bytes())).collect();
    let bodies: Vec<Bytes> = parts.iter().map(|part| part.body.clone()).collect();
    GatherReply {
        is_enough: end.is_enough,
        may_have_run: end.may_have_run,
        come_back_ms: end.refused_for.map(|after| after.as_millis() as u64),
        receipts,
        records: greatest(&bodies, plan.top),
    }
}

fn log_end(req: &CallerRequest, route: &Route, end: &FanEnd) {
    let all = end.parts.len();
    let missing = all - end.parts.iter().flatten().count();
    if end.is_enough && missing == 0 {
        return;
    }
    if let Some(after) = end.refused_for {
        let detail = format!("route {}: overloaded, come back after {after:?}", route.name);
        log_decision(Code::RequestRefused, req.id_text(), &detail);
        return;
    }
    let code = if end.is_enough { Code::AnswerPartial } else { Code::RequestFailed };
    let detail = format!(
        "route {} without {missing} of {all} shards, after {} ms: {}",
        route.name,
        elapsed_ms(req),
        end.summary()
    );
    log_decision(code, req.id_text(), &detail);
}
