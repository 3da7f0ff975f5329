//! Delegation of a gather to a gatherer: a host near the targets.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::Display;
use egret_events::Code;
use egret_policy::{ExchangeEnd, RefusalRetry};
use egret_routes::{Backend, GatherPlan, Homes, Route};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, body::Incoming};

use crate::{
    Mechanism,
    answer::end_at,
    call_deadlines::CallDeadlines,
    caller_request::CallerRequest,
    carried_headers::encode_headers,
    clock::now,
    connection::Connection,
    core::Core,
    gather_call::{GatherCall, GatherReply},
    gather_frames::FrameReader,
    gather_options::GatherOptions,
    memory_account::MemoryUse,
    target::{InFlightGuard, Target},
    target_set::{PickFilter, random_jitter},
};

/// The path at which gatherers take requests of other hosts.
pub(crate) const GATHER_PATH: &str = "/v1/gather";
/// The limit of all replies to one call, in bytes: the receipts and records of hundreds of shards.
const REPLIES_BYTES_MAX: usize = 16 << 20;
/// How many gatherers are tried before this host gathers itself.
const GATHERERS_MAX: usize = 2;
/// How many gatherers are asked before this host gathers itself, those that reach no target included.
pub(crate) const GATHERERS_ASKED_MAX: usize = 6;
/// The typical latency of a gather, as a share of the route's latency objective.
const TYPICAL_GATHER_OBJECTIVE_SHARE: f64 = 0.6;
/// A data centre is near the targets when it has at least this share of the targets that the data
/// centre with most of them has.
const TARGETS_SHARE_MIN: f64 = 0.8;
/// If an answer is ready more than this after it was due, its parts were late; the delay says
/// nothing about how busy the host is.
pub(crate) const HOST_LATENESS_MAX: Duration = Duration::from_millis(30);

/// The outcome of a delegation.
#[derive(Debug)]
pub(crate) enum Delegation {
    /// Another host gathered, or may have and the request must not run again.
    Done {
        reply: GatherReply,
        /// When the reply would have arrived without the network latency of its return; `None` if
        /// the parts were late, or the gatherer was lost.
        ready_at: Option<Instant>,
    },
    /// This host has to gather.
    Local {
        /// Whether another host may have sent the request to targets already.
        is_repeat: bool,
    },
}

/// Why a gatherer gave no answer. The texts follow the gatherer's name in log details.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum DelegateError {
    /// No connection could be opened, or none in time.
    #[display("cannot be reached")]
    NotSent,
    /// The gatherer may have the request, but did not accept it in time.
    #[display("did not accept the request in time")]
    NotAccepted,
    /// The gatherer refused the request, usually because its configuration has another plan.
    #[display("refused the request; its configuration probably differs")]
    OtherPlan,
    /// The gatherer reaches no target.
    #[display("reaches no target itself")]
    NoTargets,
    /// The connection ended, or a reply was malformed.
    #[display("broke the connection or sent a malformed reply")]
    Broken,
    /// The gatherer accepted the request, but did not answer until the request failed at its caller's host.
    #[display("accepted the request, but did not answer in time")]
    TimedOut,
}

impl DelegateError {
    /// Returns whether the gatherer may have sent the request to targets.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::NotAccepted | Self::Broken | Self::TimedOut)
    }
}

/// Delegates a gather to a gatherer near the targets, unless this host is one itself.
///
/// The answer must be here at `answer_at`.
pub(crate) async fn delegate(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    answer_at: Instant,
) -> Delegation {
    let near = data_centres(core, plan, &req.homes);
    if gathers_itself(core, &near) {
        return Delegation::Local { is_repeat: false };
    }
    let options = GatherOptions { is_repeat: false, answer_at };
    delegate_to(core, route, plan, req, options, &near, None).await
}

/// Returns whether this host gathers itself for its own callers, given the data centres `near` the targets.
pub(crate) fn gathers_itself(core: &Core, near: &[Arc<str>]) -> bool {
    !core.is_enabled(Mechanism::Gatherers) || core.is_gatherer() && near.contains(&core.options.data_centre)
}

/// Delegates a gather to another host, even if this host is a gatherer near the targets; the answer must be here at the
/// time that the options state. If this host refused it, `refused_after` is after what time its caller may retry.
pub(crate) async fn delegate_elsewhere(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    options: GatherOptions,
    refused_after: Option<Duration>,
) -> Delegation {
    let near = data_centres(core, plan, &req.homes);
    delegate_to(core, route, plan, req, options, &near, refused_after).await
}

/// Tries gatherers in the data centres `near` the targets, those of the own data centre first.
///
/// A gather that one host refused, which may be this one, is sent to one gatherer that did not refuse such a gather a
/// moment ago. That one has longer to accept it, as the refusal is prompt until then, and a gather that may have run
/// can no longer be refused as not run.
async fn delegate_to(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &Arc<CallerRequest>,
    options: GatherOptions,
    near: &[Arc<str>],
    refused_here: Option<Duration>,
) -> Delegation {
    let GatherOptions { mut is_repeat, answer_at } = options;
    let end_at = end_at(route, req);
    let objective = Duration::from_millis(route.latency_objective_ms);
    let is_enabled = core.is_enabled(Mechanism::QueryAdmission) && !is_repeat;
    let mut retry = RefusalRetry::new(is_enabled, req.arrived_at, objective, refused_here);
    let mut tried = Vec::new();
    let mut failures = 0;
    while failures < GATHERERS_MAX && tried.len() < GATHERERS_ASKED_MAX && retry.may_ask(now()) {
        let mut passed_over = tried.clone();
        if retry.refused_after().is_some() {
            passed_over.extend(core.refusers(route));
        }
        let Some(gatherer) = pick_gatherer(core, near, &passed_over, &req.homes) else { break };
        if retry.refused_after().is_some() {
            core.instruments.admission("retried");
        }
        tried.push(Arc::clone(&gatherer.replica.id));
        let sent_at = now();
        let message = message(route, plan, req, None, GatherOptions { is_repeat, answer_at });
        let deadlines = CallDeadlines { end_at, prompt_until: retry.prompt_until() };
        let called = call(Arc::clone(&gatherer), GATHER_PATH, route, message, deadlines).await;
        let reply = match called {
            Ok(mut replies) => replies.next::<GatherReply>().await,
            Err(error) => Err(error),
        };
        match reply {
            Ok(mut reply) => {
                let held = Duration::from_micros(reply.held_us);
                if let Some(after_ms) = reply.come_back_ms.filter(|_| !reply.may_have_run) {
                    core.record_refusal(route, &gatherer.replica.id);
                    let Some(after) = retry.refuse(Duration::from_millis(after_ms)) else { continue };
                    reply.come_back_ms = Some(after.as_millis() as u64);
                    log_refusal(req, route, &gatherer.replica.id, after);
                }
                let is_in_time = sent_at + held < answer_at + HOST_LATENESS_MAX;
                return Delegation::Done { reply, ready_at: is_in_time.then_some(sent_at + held) };
            }
            Err(error) => {
                let detail = format!("route {}: gatherer {} {error}", route.name, gatherer.replica.id);
                req.log(Code::GathererFailed, &detail);
                let was_repeat = is_repeat;
                is_repeat |= error.may_have_run();
                failures += usize::from(error != DelegateError::NoTargets);
                // A gatherer that did not accept in time sends to one replica of each shard at most.
                let may_exceed = match error {
                    DelegateError::Broken => true,
                    // After two of them, no attempt is left.
                    DelegateError::NotAccepted => was_repeat || route.attempts_max <= 1,
                    _ => false,
                };
                let must_not_repeat = may_exceed && has_spare_replicas(core, route, plan, &req.homes);
                if must_not_repeat || error == DelegateError::TimedOut {
                    let reply = GatherReply { may_have_run: true, ..GatherReply::not_run() };
                    return Delegation::Done { reply, ready_at: None };
                }
                if retry.fail(is_repeat) {
                    break;
                }
            }
        }
    }
    match (retry.refused_after(), tried.first()) {
        (Some(after), Some(gatherer)) if refused_here.is_none() => {
            log_refusal(req, route, gatherer, after);
            let come_back_ms = Some(after.as_millis() as u64);
            Delegation::Done { reply: GatherReply { come_back_ms, ..GatherReply::not_run() }, ready_at: None }
        }
        _ => Delegation::Local { is_repeat },
    }
}

fn log_refusal(req: &CallerRequest, route: &Route, gatherer: &str, after: Duration) {
    let detail = format!(
        "route {}: gatherer {gatherer} reports that too many shards are overloaded; the caller may retry after {after:?}",
        route.name
    );
    req.log(Code::RequestRefused, &detail);
}

/// Picks a gatherer that was not tried: of the own data centre if that is `near` the targets, of
/// another one that is, or else of any if this host reaches no target, ejected ones included.
pub(crate) fn pick_gatherer(
    core: &Core,
    near: &[Arc<str>],
    tried: &[Arc<str>],
    homes: &Homes,
) -> Option<Arc<Target>> {
    pick_gatherer_with(core, near, tried, homes, random_jitter)
}

/// Picks a gatherer as [`pick_gatherer`] does, with this jitter of the costs.
pub(crate) fn pick_gatherer_with(
    core: &Core,
    near: &[Arc<str>],
    tried: &[Arc<str>],
    homes: &Homes,
    jitter: fn() -> f64,
) -> Option<Arc<Target>> {
    let gatherers = core.gatherers_within(homes);
    let pick = |names: &[&str]| gatherers.pick_with(now(), names, tried, PickFilter::NotEjected, jitter);
    let own = &core.options.data_centre;
    let nearest = near.contains(own).then(|| pick(&[own])).flatten();
    let near: Vec<&str> = near.iter().map(|name| &**name).collect();
    let any: Vec<&str> = gatherers.services().collect();
    // Only a refusal is left, and a gatherer is ejected when it is late once.
    let any_gatherer = || gatherers.pick_with(now(), &any, tried, PickFilter::Any, jitter);
    let anywhere = || core.is_partitioned().then(any_gatherer).flatten();
    nearest.or_else(|| pick(&near)).or_else(anywhere)
}

/// Returns whether a shard has more replicas than the route's limit of attempts.
///
/// Which of them a lost gatherer sent the request to is not known, so this host must not send it
/// to more of them; the caller may retry.
pub(crate) fn has_spare_replicas(core: &Core, route: &Route, plan: &GatherPlan, homes: &Homes) -> bool {
    let targets = core.targets_within(homes);
    plan.shards.iter().any(|shard| targets.targets_of(shard).len() > route.attempts_max as usize)
}

/// Returns the data centres that have the most targets of a plan's shards, sorted.
pub(crate) fn data_centres(core: &Core, plan: &GatherPlan, homes: &Homes) -> Vec<Arc<str>> {
    let targets = core.targets_within(homes);
    let mut counts: Vec<(Arc<str>, usize)> = Vec::new();
    for shard in &plan.shards {
        for target in targets.targets_of(shard) {
            let name = &target.replica.data_centre;
            match counts.binary_search_by(|(known, _)| known.cmp(name)) {
                Ok(at) => counts[at].1 += 1,
                Err(at) => counts.insert(at, (Arc::clone(name), 1)),
            }
        }
    }
    let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let least = (most as f64 * TARGETS_SHARE_MIN).ceil() as usize;
    counts.into_iter().filter(|(_, count)| *count >= least).map(|(name, _)| name).collect()
}

/// Asks another gatherer for the parts of some shards of a plan.
pub(crate) fn call_for_parts(
    core: &Core,
    gatherer: Arc<Target>,
    route: &Route,
    req: &CallerRequest,
    shards: &[usize],
    options: GatherOptions,
) -> impl Future<Output = Result<FrameReader, DelegateError>> + Send + use<> {
    let message = match &route.backend {
        Backend::Gather(plan) => message(route, plan, req, Some(shards), options),
        Backend::One(_) | Backend::Split(_) => Bytes::new(),
    };
    let deadlines = CallDeadlines::until(end_at(route, req));
    // Each message holds a copy of the body; without memory for it this host asks the targets itself.
    let message = core.memory.hold(MemoryUse::Messages, message);
    let called = message.map(|message| call(gatherer, GATHER_PATH, route, message, deadlines));
    async move {
        match called {
            Some(called) => called.await,
            None => Err(DelegateError::NotSent),
        }
    }
}

/// Sends a call to a gatherer and waits until it is accepted; returns the reader of its replies.
///
/// Nothing is waited for after its deadline: a gatherer that froze, or whose link was cut after it had accepted, leaves nothing unacknowledged, so that the connection does not break by itself.
pub(crate) fn call(
    gatherer: Arc<Target>,
    path: &'static str,
    route: &Route,
    message: Bytes,
    deadlines: CallDeadlines,
) -> impl Future<Output = Result<FrameReader, DelegateError>> + Send + use<> {
    let typical_latency =
        Duration::from_millis(route.latency_objective_ms).mul_f64(TYPICAL_GATHER_OBJECTIVE_SHARE);
    async move {
        let mut running = InFlightGuard::begin(Arc::clone(&gatherer), now(), typical_latency);
        let accepted = send_until_accepted(&gatherer, path, message, deadlines).await;
        match accepted {
            Ok((connection, body)) => Ok(FrameReader::new(connection, running, body, deadlines.end_at)),
            Err(error) => {
                let end = match error {
                    DelegateError::OtherPlan => ExchangeEnd::Shed,
                    _ => ExchangeEnd::Unreachable,
                };
                running.end(now(), end);
                Err(error)
            }
        }
    }
}

/// Sends a call on a reused or new connection; returns once the gatherer has accepted it.
async fn send_until_accepted(
    gatherer: &Arc<Target>,
    path: &'static str,
    body: Bytes,
    deadlines: CallDeadlines,
) -> Result<(Connection, Incoming), DelegateError> {
    let started_at = now();
    let accept_by = tokio::time::Instant::from_std(deadlines.accept_by(started_at));
    let connect_by = tokio::time::Instant::from_std(deadlines.connect_by(started_at));
    loop {
        let connecting = async {
            match Connection::reuse(gatherer).await {
                Some(connection) => Some(connection),
                None => Connection::open(gatherer).await,
            }
        };
        let connection = tokio::time::timeout_at(connect_by, connecting).await;
        let mut connection = connection.ok().flatten().ok_or(DelegateError::NotSent)?;
        let mut message = Request::new(Full::new(body.clone()));
        *message.method_mut() = Method::POST;
        *message.uri_mut() = hyper::Uri::from_static(path);
        connection.allowance.set(REPLIES_BYTES_MAX);
        let head = tokio::time::timeout_at(accept_by, connection.sender.try_send_request(message)).await;
        match head.map_err(|_| DelegateError::NotAccepted)? {
            Ok(res) if res.status() == StatusCode::OK => return Ok((connection, res.into_body())),
            Ok(res) if res.status() == StatusCode::SERVICE_UNAVAILABLE => {
                return Err(DelegateError::NoTargets);
            }
            Ok(_) => return Err(DelegateError::OtherPlan),
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(DelegateError::Broken);
                }
                // The connection ended while it was idle, before any byte was written: try again.
            }
        }
    }
}

fn message(
    route: &Route,
    plan: &GatherPlan,
    req: &CallerRequest,
    shards: Option<&[usize]>,
    options: GatherOptions,
) -> Bytes {
    let call = GatherCall {
        route: Arc::clone(&route.name),
        plan: plan.fingerprint_within(&req.homes),
        method: req.method.as_str().to_owned(),
        path: req.path().to_owned(),
        headers: encode_headers(&req.headers),
        body: req.body.clone(),
        deadline_ms: req.deadline.as_millis() as u64,
        age_ms: now().saturating_duration_since(req.arrived_at).as_millis() as u64,
        answer_in_us: options.answer_at.saturating_duration_since(now()).as_micros() as u64,
        shards: shards.map(|shards| shards.iter().map(|&shard| shard as u32).collect()),
        is_repeat: options.is_repeat,
    };
    egret_wire::encode_compact(&call).into()
}
