//! The probe of a request whose mark as crashing targets has ended.

use std::sync::Arc;

use egret_events::Code;
use egret_policy::weighted_draw;
use egret_routes::{Backend, Route};

use crate::{
    answer::{fan_out_options, no_answer, no_target},
    caller_request::CallerRequest,
    clock::now,
    core::Core,
    fan_out::fan_out,
    reply::{self, CallerReply},
};

/// Sends a request to one target, of a random shard if it needs several, to learn whether it still crashes targets.
///
/// If the target answers, the request is no longer refused. The part of one shard is no answer to a gather, so its caller has to retry.
pub(crate) async fn probe(core: &Arc<Core>, route: &Route, req: &Arc<CallerRequest>) -> CallerReply {
    let service = match &route.backend {
        Backend::One(service) => Some(service),
        Backend::Split(parts) => {
            weighted_draw(parts.iter().map(|part| part.weight), fastrand::f64()).map(|at| &parts[at].service)
        }
        Backend::Gather(plan) => fastrand::choice(&plan.shards),
    };
    let Some(service) = service else { return no_target(req, route) };
    let detail = format!("route {}: sent to one target of {service} as its mark has ended", route.name);
    req.log(Code::SuspectProbed, &detail);
    let mut options = fan_out_options(core, route, req, 1, core.answer_due_at(route, req));
    options.limits.attempts_max = 1;
    options.limits.hedge_delay = None;
    let mut result = fan_out(core, req, route, std::slice::from_ref(service), options, None).await;
    let Some(answer) = result.parts[0].take().or(result.failure.take()) else {
        req.log(Code::SuspectProbed, &format!("route {}: no answer; {}", route.name, result.summary()));
        return no_answer(req, route, result.may_have_run, result.backoff_left);
    };
    core.suspects().absolve(now(), req.fingerprint);
    req.log(Code::SuspectProbed, &format!("route {}: answered; it is no longer refused", route.name));
    match &route.backend {
        Backend::One(_) | Backend::Split(_) => reply::relayed(answer, &core.options.headers),
        Backend::Gather(_) => no_answer(req, route, true, None),
    }
}
