//! Forwarding of a request for one target to another host, while this host reaches no target.
//!
//! Gatherers take such requests, as they do gathers. Whether a request may be sent again after a gatherer was lost follows
//! from the same rule as for targets: only an idempotent one, and only within the route's limit of attempts. See
//! docs/DESIGN.md, "Hosts partitioned from all targets".

use std::{sync::Arc, time::Instant};

use egret_events::Code;
use egret_routes::Route;
use hyper::{StatusCode, header::HeaderValue};

use crate::{
    answer::end_at,
    call_deadlines::CallDeadlines,
    caller_request::CallerRequest,
    carried_headers::{decode_headers, encode_headers},
    clock::now,
    core::Core,
    delegate::{DelegateError, GATHERERS_ASKED_MAX, call, pick_gatherer},
    forward_call::{ForwardCall, ForwardReply, ForwardedAnswer},
    target_answer::{TargetAnswer, is_final_status},
};

/// The path at which gatherers take requests for one target.
pub(crate) const FORWARD_PATH: &str = "/v1/forward";

/// What this host has already done with a request that it forwards.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardOptions {
    /// When the answer has to be here.
    pub(crate) answer_at: Instant,
    /// The most targets that may still get the request.
    pub(crate) attempts_max: u32,
    /// Whether a target may have run the request already.
    pub(crate) is_repeat: bool,
}

/// Sends a request to a gatherer that reaches the targets; returns `None` if no gatherer took it.
pub(crate) async fn forward(
    core: &Arc<Core>,
    route: &Route,
    service: &Arc<str>,
    req: &Arc<CallerRequest>,
    options: ForwardOptions,
) -> Option<ForwardReply> {
    let near = [Arc::clone(&core.options.data_centre)];
    let mut tried = Vec::new();
    while tried.len() < GATHERERS_ASKED_MAX {
        let gatherer = pick_gatherer(core, &near, &tried, &req.homes)?;
        tried.push(Arc::clone(&gatherer.replica.id));
        let message = egret_wire::encode_compact(&message(route, service, req, options));
        let end_at = end_at(route, req);
        let called =
            call(Arc::clone(&gatherer), FORWARD_PATH, route, message.into(), CallDeadlines::until(end_at))
                .await;
        let reply = match called {
            Ok(mut replies) => replies.next::<ForwardReply>().await,
            Err(error) => Err(error),
        };
        core.instruments.forward(if reply.is_ok() { "answered" } else { "failed" });
        match reply {
            Ok(reply) => {
                let detail = format!("route {}: sent to a target by {}", route.name, gatherer.replica.id);
                req.log(Code::RequestForwarded, &detail);
                return Some(reply);
            }
            Err(error) => {
                let detail = format!("route {}: gatherer {} {error}", route.name, gatherer.replica.id);
                req.log(Code::GathererFailed, &detail);
                if error.may_have_run() {
                    // How many targets got the request is not known, so the caller has to retry.
                    return Some(ForwardReply { may_have_run: true, ..ForwardReply::default() });
                }
            }
        }
    }
    None
}

fn message(route: &Route, service: &Arc<str>, req: &CallerRequest, options: ForwardOptions) -> ForwardCall {
    ForwardCall {
        route: Arc::clone(&route.name),
        service: Arc::clone(service),
        idempotent: route.idempotent,
        method: req.method.as_str().to_owned(),
        path: req.path().to_owned(),
        headers: encode_headers(&req.headers),
        body: req.body.clone(),
        deadline_ms: req.deadline.as_millis() as u64,
        age_ms: now().saturating_duration_since(req.arrived_at).as_millis() as u64,
        answer_in_us: options.answer_at.saturating_duration_since(now()).as_micros() as u64,
        attempts_max: options.attempts_max,
        is_repeat: options.is_repeat,
    }
}

impl From<TargetAnswer> for ForwardedAnswer {
    fn from(answer: TargetAnswer) -> Self {
        Self {
            status: answer.status.as_u16(),
            headers: encode_headers(&answer.headers),
            receipt: answer.receipt.map(|receipt| receipt.as_bytes().to_vec().into()),
            body: answer.body,
        }
    }
}

impl TryFrom<ForwardedAnswer> for TargetAnswer {
    type Error = DelegateError;

    fn try_from(answer: ForwardedAnswer) -> Result<Self, DelegateError> {
        // A host of an earlier build passes on what it got from its target.
        let status = StatusCode::from_u16(answer.status).ok().filter(|status| is_final_status(*status));
        let receipt = answer.receipt.map(|receipt| HeaderValue::from_bytes(&receipt)).transpose();
        Ok(Self {
            status: status.ok_or(DelegateError::Broken)?,
            headers: decode_headers(&answer.headers).ok_or(DelegateError::Broken)?,
            receipt: receipt.map_err(|_| DelegateError::Broken)?,
            body: answer.body,
            queued_per_slot: None,
        })
    }
}
