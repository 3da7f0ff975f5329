//! An exchange: one request to one target, and its answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use egret_events::{Code, log_event};
use egret_policy::{ExchangeEnd, LoadReport};
use egret_routes::TopRecords;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_ENCODING, HeaderValue},
};

use crate::{
    Mechanism,
    caller_request::CallerRequest,
    clock::now,
    connection::{Connection, HEAD_BYTES_MAX},
    core::Core,
    memory_account::MemoryUse,
    request_work::RequestWork,
    retry_after::retry_after,
    target::{InFlightGuard, Target},
    target_answer::{ExchangeResult, LossCause, TargetAnswer, is_final_status},
};

/// The limit of the body of an answer that is passed on to the caller, in bytes.
const ANSWER_BODY_BYTES_MAX: usize = 8 << 20;
/// The limit of the body of a part, in bytes; only its top records are kept in memory.
const PART_BODY_BYTES_MAX: usize = 1 << 20;
/// The limit of a receipt, in bytes; a gather holds one for each part.
const RECEIPT_BYTES_MAX: usize = 4 << 10;
/// How many bytes may be read for a body beyond `FRAMING_FACTOR` times its size: chunk sizes,
/// trailers, and bytes that are read ahead. Chunks of a few bytes each exceed it, as their framing
/// is larger than their data.
const FRAMING_BYTES_MAX: usize = 64 << 10;
/// How many bytes may be read for each byte of a body.
const FRAMING_FACTOR: usize = 2;

/// The options of an exchange, besides its request and target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeOptions {
    /// When the caller stops waiting.
    pub(crate) end_at: Instant,
    /// The typical latency of such a request.
    pub(crate) typical_latency: Duration,
    /// The work of a request that needs one target, with the time that it is expected to wait for a slot.
    pub(crate) work: Option<(RequestWork, Duration)>,
    /// Whether to use a new connection only, as an earlier answer may still arrive on a reused one.
    pub(crate) new_connection_only: bool,
    /// How many records of the answer are kept, if it is a part of a gather.
    pub(crate) top_k: Option<usize>,
}

/// Sends a request to a target and reads its whole answer.
///
/// Dropping the future closes the connection, so that the target stops working on the request.
pub(crate) async fn exchange(
    core: Arc<Core>,
    target: Arc<Target>,
    req: Arc<CallerRequest>,
    options: ExchangeOptions,
) -> ExchangeResult {
    let _exchange = ExchangeGuard::begin(&core, options.typical_latency);
    let mut running =
        InFlightGuard::begin(Arc::clone(&target), now(), options.typical_latency).with_work(options.work);
    let result = send(&core, &target, &req, options).await;
    let end = match &result {
        // The target was not tried: it takes no requests now.
        ExchangeResult::NotSent if !target.accepts_chosen_requests(now()) => ExchangeEnd::Abandoned,
        ExchangeResult::Abandoned => ExchangeEnd::Abandoned,
        ExchangeResult::Success(_) => ExchangeEnd::Answered,
        ExchangeResult::Failure(_) | ExchangeResult::Lost(_) => ExchangeEnd::Failed,
        ExchangeResult::NotRun(StatusCode::MISDIRECTED_REQUEST) | ExchangeResult::NotSent => {
            ExchangeEnd::Unreachable
        }
        ExchangeResult::NotRun(_) => ExchangeEnd::Shed,
    };
    running.end(now(), end);
    core.instruments.exchange(end_label(end));
    if matches!(result, ExchangeResult::Lost(LossCause::Broken)) {
        core.target_connection_failed(&target);
        core.check_for_crash(target, &req);
    }
    result
}

/// Counts an exchange as waiting for its target until it ends or is dropped.
struct ExchangeGuard<'a>(&'a Core);

impl<'a> ExchangeGuard<'a> {
    fn begin(core: &'a Core, typical_latency: Duration) -> Self {
        core.exchange_began(now(), typical_latency);
        Self(core)
    }
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        self.0.exchange_ended();
    }
}

/// Returns the value of the `end` label of the metric `exchanges`.
fn end_label(end: ExchangeEnd) -> &'static str {
    match end {
        ExchangeEnd::Answered | ExchangeEnd::Untimed => "answered",
        ExchangeEnd::Failed => "failed",
        ExchangeEnd::Shed => "shed",
        ExchangeEnd::Unreachable => "unreachable",
        ExchangeEnd::Abandoned => "abandoned",
    }
}

async fn send(
    core: &Arc<Core>,
    target: &Arc<Target>,
    req: &Arc<CallerRequest>,
    options: ExchangeOptions,
) -> ExchangeResult {
    loop {
        if req.is_abandoned() {
            return ExchangeResult::Abandoned;
        }
        let connection = connect(core, target, options).await;
        if req.is_abandoned() {
            connection.into_iter().for_each(|connection| connection.keep(target));
            return ExchangeResult::Abandoned;
        }
        let sent_at = now();
        let Some(mut connection) = connection.filter(|_| target.try_send(sent_at)) else {
            return ExchangeResult::NotSent;
        };
        connection.allowance.set(HEAD_BYTES_MAX);
        req.sent_to.add(target.replica.address);
        let message = message(core, target, req, options.end_at);
        let res = match connection.sender.try_send_request(message).await {
            Ok(res) => res,
            Err(mut error) => {
                if error.take_message().is_some() {
                    // The connection ended while it was idle, before any byte was written: try again.
                    continue;
                }
                return ExchangeResult::Lost(loss_cause(&connection));
            }
        };
        core.target_answered(options.typical_latency);
        apply_target_state(core, target, sent_at, &res);
        return receive(core, target, req, options, connection, res).await;
    }
}

/// Takes an idle connection or opens a new one; waits while this host has as many as it may have.
///
/// Returns `None` if the target accepts no requests or cannot be reached.
async fn connect(core: &Arc<Core>, target: &Arc<Target>, options: ExchangeOptions) -> Option<Connection> {
    loop {
        // Created before the target's state is checked: if the target retires or backs off in
        // between, this exchange is woken all the same.
        let freed = target.connection_freed.notified();
        if !target.accepts_chosen_requests(now()) {
            return None;
        }
        if !options.new_connection_only
            && let Some(connection) = Connection::reuse(target).await
        {
            return Some(connection);
        }
        let limit = core.connections_max(&target.replica.service, options.top_k.is_some());
        if target.state().open_connections < limit {
            core.instruments.connection();
            let connection = Connection::open(target).await;
            match connection {
                Some(_) => core.target_connected(target),
                None => core.target_connection_failed(target),
            }
            return connection;
        }
        if options.new_connection_only && target.state().idle_connections.pop().is_some() {
            // The driver of the dropped connection ends soon, so that another one may be opened.
            tokio::task::yield_now().await;
            continue;
        }
        freed.await;
    }
}

fn message(core: &Core, target: &Target, req: &CallerRequest, end_at: Instant) -> Request<Full<Bytes>> {
    let names = &core.options.headers;
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = req.uri.clone();
    let mut headers = req.headers.clone();
    let left_ms = end_at.saturating_duration_since(now()).as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(&target.replica.id) {
        headers.insert(names.expected_target.clone(), id);
    }
    *message.headers_mut() = headers;
    message
}

async fn receive(
    core: &Core,
    target: &Arc<Target>,
    req: &CallerRequest,
    options: ExchangeOptions,
    mut connection: Connection,
    res: Response<Incoming>,
) -> ExchangeResult {
    let names = &core.options.headers;
    let (head, body) = res.into_parts();
    if !is_final_status(head.status) {
        return ExchangeResult::Lost(LossCause::InvalidStatus);
    }
    if head.headers.get(&names.request_id).is_some_and(|id| *id != req.id) {
        return ExchangeResult::Lost(LossCause::Foreign);
    }
    let queued_per_slot = apply_load_report(core, target, &head.headers, options.typical_latency);
    // Only a successful answer is a part; a failure is passed on or dropped as it is.
    let top_k = options.top_k.filter(|_| head.status.is_success());
    let body = match read_body(core, &connection, body, top_k).await {
        Ok(body) => body,
        Err(cause) => return ExchangeResult::Lost(cause),
    };
    if !head.headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
        if let Some(idle_timeout) = idle_timeout(&head.headers) {
            connection.idle_timeout = idle_timeout;
        }
        connection.keep(target);
    }
    if head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST {
        return ExchangeResult::NotRun(head.status);
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return ExchangeResult::Lost(LossCause::Encoded);
    }
    let receipt = head.headers.get(&names.receipt).cloned();
    if receipt.as_ref().is_some_and(|receipt| receipt.len() > RECEIPT_BYTES_MAX) {
        return ExchangeResult::Lost(LossCause::TooLarge);
    }
    if head.status.is_success() && receipt.is_none() {
        return ExchangeResult::Lost(LossCause::Unsigned);
    }
    let answer = match (top_k, receipt) {
        (Some(_), Some(receipt)) => {
            let Some((receipt, body)) = hold_part(core, &receipt, body).await else {
                return ExchangeResult::Lost(LossCause::TooLarge);
            };
            // The other headers of a part are not used.
            let headers = HeaderMap::new();
            TargetAnswer { status: head.status, headers, receipt: Some(receipt), body, queued_per_slot }
        }
        (_, receipt) => {
            TargetAnswer { status: head.status, headers: head.headers, receipt, body, queued_per_slot }
        }
    };
    if answer.status.is_success() { ExchangeResult::Success(answer) } else { ExchangeResult::Failure(answer) }
}

/// Charges a part until its records are dropped, and copies its receipt: as received, it keeps the connection's whole
/// read buffer in memory. Returns `None` if there is no memory for the part.
async fn hold_part(core: &Core, receipt: &HeaderValue, records: Bytes) -> Option<(HeaderValue, Bytes)> {
    let bytes = receipt.len() + records.len();
    let mut charge = None;
    let charge_part = || {
        charge = core.memory.charge(MemoryUse::Answers, bytes);
        charge.is_some()
    };
    core.make_room(None, charge_part).await;
    let receipt = HeaderValue::from_bytes(receipt.as_bytes()).ok()?;
    Some((receipt, charge?.hold(records)))
}

/// Reads the body of an answer: the top records of a part, or else the whole body.
async fn read_body(
    core: &Core,
    connection: &Connection,
    mut body: Incoming,
    top_k: Option<usize>,
) -> Result<Bytes, LossCause> {
    let bytes_max = if top_k.is_some() { PART_BODY_BYTES_MAX } else { ANSWER_BODY_BYTES_MAX };
    connection.allowance.set(FRAMING_BYTES_MAX);
    let mut whole = core.memory.buffer(MemoryUse::Answers, bytes_max);
    let mut records = top_k.map(TopRecords::new);
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| loss_cause(connection))?;
        let Ok(data) = frame.into_data() else { continue };
        connection.allowance.add(FRAMING_FACTOR * data.len());
        bytes += data.len();
        if bytes > bytes_max {
            return Err(LossCause::TooLarge);
        }
        match &mut records {
            Some(records) => records.add(&data),
            None if core.make_room(None, || whole.add(&data)).await => {}
            None => return Err(LossCause::TooLarge),
        }
    }
    Ok(records.map_or_else(|| whole.freeze(), TopRecords::finish))
}

/// Returns why a connection failed.
fn loss_cause(connection: &Connection) -> LossCause {
    if connection.allowance.is_exhausted() { LossCause::TooLarge } else { LossCause::Broken }
}

/// Applies what an answer says about its target, whichever request the answer belongs to: that the
/// target leaves, that it asks for no requests for a time, or how many it takes.
fn apply_target_state(core: &Core, target: &Target, sent_at: Instant, res: &Response<Incoming>) {
    let names = &core.options.headers;
    let (status, headers) = (res.status(), res.headers());
    apply_request_limit(core, target, sent_at, headers);
    if headers.get_all(&names.leaving).iter().any(|value| value.as_bytes().trim_ascii() == b"1") {
        core.retire_target(target);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(wanted) = retry_after(headers)
    {
        let accepted_requests = target.accepts_chosen_requests(now());
        target.back_off(now(), wanted);
        if accepted_requests {
            let detail = format!(
                "target {} of service {} asks for no requests for {wanted:?}",
                target.replica.id, target.replica.service
            );
            log_event(Code::TargetClosed, "", &detail);
        }
    }
}

/// Applies the limit on requests that an answer states. A value that is no rate changes nothing.
fn apply_request_limit(core: &Core, target: &Target, sent_at: Instant, headers: &HeaderMap) {
    let values = headers.get_all(&core.options.headers.request_limit);
    let rates = values.iter().filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let per_s = rates.filter(|per_s| per_s.is_finite() && *per_s >= 0.0).reduce(f64::min);
    if per_s.is_none() && values.iter().next().is_some() {
        return;
    }
    if target.state_limit(now(), sent_at, per_s, || core.limit_share(&target.replica)) {
        let detail = format!(
            "target {} of service {} takes {} requests per second from all hosts",
            target.replica.id,
            target.replica.service,
            per_s.unwrap_or_default()
        );
        log_event(Code::TargetLimited, "", &detail);
    }
}

/// Applies the load that a target reports; returns the requests that wait there as a multiple of its slots.
fn apply_load_report(
    core: &Core,
    target: &Target,
    headers: &HeaderMap,
    typical_latency: Duration,
) -> Option<f64> {
    let load = headers.get(&core.options.headers.load).and_then(|value| value.to_str().ok())?;
    let mut numbers = load.split(',').map(|item| item.trim().parse::<u32>());
    let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) else { return None };
    if core.is_enabled(Mechanism::LoadReports) {
        let pending = running.saturating_add(waiting);
        let slots = numbers.next().and_then(Result::ok);
        let percent = numbers.next().and_then(Result::ok).filter(|percent| *percent > 0);
        let slowness = percent.map(|percent| f64::from(percent) / 100.0);
        let mut state = target.state();
        state.load.report(now(), pending, typical_latency);
        state.backlog.report(now(), LoadReport { pending, slots, slowness });
    }
    Some(f64::from(waiting) / f64::from(target.replica.slots.max(1)))
}

/// Returns how long the target keeps an idle connection, if its `Keep-Alive` header states whole
/// seconds.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.parse().ok()?))
}
