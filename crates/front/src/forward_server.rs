//! Sends requests for one target on behalf of hosts that reach no target.

use std::{sync::Arc, time::Instant};

use egret_routes::{Backend, Route, RouteTable};

use crate::{
    answer::{elapsed_ms, fan_out_options},
    caller_request::CallerRequest,
    core::Core,
    fan_out::fan_out,
    forward_call::{ForwardCall, ForwardReply},
};

/// Returns the route of a call, if it sends requests to the same service under the same conditions here.
pub(crate) fn find_route<'a>(table: &'a RouteTable, call: &ForwardCall) -> Option<&'a Route> {
    let route = table.find_by_name(&call.route)?;
    let has_service = match &route.backend {
        Backend::One(service) => *service == call.service,
        Backend::Split(parts) => parts.iter().any(|part| part.service == call.service),
        Backend::Gather(_) => false,
    };
    (has_service && route.idempotent == call.idempotent).then_some(route)
}

/// Sends a request to a target for another host.
pub(crate) async fn send_for_other(
    core: &Arc<Core>,
    route: &Route,
    call: &ForwardCall,
    req: CallerRequest,
    answer_at: Instant,
) -> ForwardReply {
    if core.refuses_for_others(&req) {
        return ForwardReply { may_have_run: call.is_repeat, ..ForwardReply::default() };
    }
    let req = Arc::new(req);
    let mut options = fan_out_options(core, route, &req, 1, answer_at);
    options.is_repeat = call.is_repeat;
    options.limits.attempts_max = options.limits.attempts_max.min(call.attempts_max as usize);
    let services = std::slice::from_ref(&call.service);
    let mut result = fan_out(core, &req, route, services, options, None).await;
    if result.parts[0].is_none() {
        let detail =
            format!("route {} failed after {} ms: {}", route.name, elapsed_ms(&req), result.summary());
        req.log(egret_events::Code::RequestFailed, &detail);
    }
    ForwardReply {
        answer: result.parts[0].take().or(result.failure.take()).map(Into::into),
        may_have_run: result.may_have_run,
        backoff_ms: result.backoff_left.map(|left| left.as_millis() as u64),
    }
}
