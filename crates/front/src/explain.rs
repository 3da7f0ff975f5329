//! What would happen to a request that a caller sent now, and why, without sending it.
//!
//! Decisions are made by the functions that serve requests. Where those record something, they are asked through a question
//! that records nothing, or on a copy of their state. docs/design/explain.md.

mod admission_verdict;
mod admission_view;
mod cost_view;
mod explanation;
mod gather_view;
mod gatherer_view;
mod gathers;
mod question;
mod question_error;
mod question_failure;
mod refusal;
mod route_kind;
mod route_view;
mod service_view;
mod services;
mod shard_view;
mod target_condition;
mod target_view;

use std::{sync::Arc, time::Duration};

use egret_node::{HttpRequest, Reply};
use egret_policy::SuspectVerdict;
use egret_routes::{Backend, Route, RouteTable};
use hyper::StatusCode;

pub use self::{
    admission_verdict::AdmissionVerdict, admission_view::AdmissionView, cost_view::CostView,
    explanation::Explanation, gather_view::GatherView, gatherer_view::GathererView, question::Question,
    question_error::QuestionError, question_failure::QuestionFailure, refusal::Refusal,
    route_kind::RouteKind, route_view::RouteView, service_view::ServiceView, shard_view::ShardView,
    target_condition::TargetCondition, target_view::TargetView,
};
use self::{gathers::explain_gather, services::explain_service};
use crate::{
    answer::{ANSWER_ROOM_MIN, RETRY_AFTER_NO_HOME, RETRY_AFTER_POISON, no_route_refusal},
    caller_request::CallerRequest,
    core::Core,
    memory_account::MemoryUse,
};

/// The path at which the metrics listener explains requests.
pub const EXPLAIN_PATH: &str = "/explain";

/// Answers a question with an [`Explanation`] in JSON, or with a [`QuestionFailure`].
pub(crate) fn respond(core: &Core, call: &HttpRequest) -> Reply {
    match Question::parse(call).and_then(|question| explain(core, &question)) {
        Ok(explanation) => Reply::json(200, &explanation),
        Err(error) => Reply::json(error.status(), &QuestionFailure { error: error.to_string() }),
    }
}

fn explain(core: &Core, question: &Question) -> Result<Explanation, QuestionError> {
    let table = core.table.load_full().ok_or(QuestionError::NoConfiguration)?;
    let mut explanation = Explanation {
        node: Arc::clone(&core.options.host),
        data_centre: Arc::clone(&core.options.data_centre),
        config_version: table.version().0,
        route: None,
        refusal: None,
        services: Vec::new(),
        gather: None,
        notes: notes(core),
    };
    let bytes_max = table.limits().body_bytes;
    if question.body_bytes > bytes_max {
        let reason = format!("the body is over the limit of {bytes_max} bytes");
        explanation.refusal = Some(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, None, reason));
        return Ok(explanation);
    }
    let _charge =
        core.memory.charge(MemoryUse::LargeBodies, question.body_bytes).ok_or(QuestionError::NoMemory)?;
    let mut req = question.to_request(vec![0; question.body_bytes].into())?;
    let Some(route) = table.find(&req.host, req.path()) else {
        let (status, reason, retry_after) = no_route_refusal(core);
        explanation.refusal = Some(Refusal::new(status, retry_after.map(Duration::from_secs_f64), reason));
        return Ok(explanation);
    };
    explanation.route = Some(route.into());
    explain_route(core, &table, route, &mut req, &mut explanation);
    Ok(explanation)
}

fn explain_route(
    core: &Core,
    table: &RouteTable,
    route: &Route,
    req: &mut CallerRequest,
    explanation: &mut Explanation,
) {
    if table.has_homes() {
        req.homes = core.homes_of(table, Some(route), req);
    }
    if req.homes.is_nowhere() {
        let reason = "the route may be served in no region: change its regions";
        let after = Duration::from_secs_f64(RETRY_AFTER_NO_HOME);
        explanation.refusal = Some(Refusal::unavailable(after, reason));
        return;
    }
    // The content of a body is not known, so a request with one cannot be told from others.
    let verdict = if req.body.is_empty() { core.suspect_verdict(req) } else { SuspectVerdict::Run };
    match verdict {
        SuspectVerdict::Run => {}
        SuspectVerdict::Refuse => {
            let after = Duration::from_secs_f64(RETRY_AFTER_POISON);
            let reason = "the request crashed the targets that ran it";
            explanation.refusal = Some(Refusal::unavailable(after, reason));
            return;
        }
        SuspectVerdict::Probe => explanation.notes.push(
            "the request crashed targets before: it would be sent to one target, to learn whether it still does"
                .to_owned(),
        ),
    }
    explanation.services = match &route.backend {
        Backend::One(service) => vec![explain_service(core, route, service, None, req)],
        Backend::Split(parts) => parts
            .iter()
            .map(|part| explain_service(core, route, &part.service, Some(part.weight), req))
            .collect(),
        Backend::Gather(plan) => {
            explanation.gather = Some(explain_gather(core, route, plan, req));
            Vec::new()
        }
    };
}

fn notes(core: &Core) -> Vec<String> {
    let is_short = !core.memory.has_room(MemoryUse::Answers, ANSWER_ROOM_MIN);
    let all = [
        (core.is_stopping(), "this host shuts down: callers are sent to other hosts"),
        (core.is_partitioned(), "this host reaches no target: requests go to other hosts"),
        (is_short, "memory is short: connections are evicted before the request, or it is refused with 503"),
    ];
    all.into_iter().filter(|(holds, _)| *holds).map(|(_, note)| note.to_owned()).collect()
}

/// Returns milliseconds, rounded to microseconds for people.
fn millis(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}
