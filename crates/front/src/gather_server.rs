//! The server of a gatherer: gathers for other hosts, and sends requests to targets for those that reach none.

use std::{
    convert::Infallible,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use egret_events::{Code, log_event};
use egret_routes::{Backend, GatherPlan, Homes, Route, RouteTable};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    task::JoinHandle,
};

use crate::{
    caller_request::{CallerRequest, fingerprint_of},
    carried_headers::decode_headers,
    clock::now,
    core::Core,
    delegate::GATHER_PATH,
    forward::FORWARD_PATH,
    forward_call::ForwardCall,
    forward_server::{find_route, send_for_other},
    gather::{run_gather, run_parts},
    gather_call::{GatherCall, GatherReply},
    gather_frames::{Framed, encode_frame},
    gather_options::GatherOptions,
    memory_account::MemoryUse,
    sender_watch::SenderWatch,
    sent_to::SentTo,
    shared_stream::SharedStream,
};

/// The limit of another host's message, in bytes: a caller's body and headers fit.
const MESSAGE_BYTES_MAX: usize = 16 << 20;

/// The buffer of a connection, in bytes. The library's default grows to 400 KB.
const BUFFER_BYTES: usize = 16 << 10;

/// The time within which another host's message must arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// With the first poll the HTTP library reads the end of the request, with the second one the end of the
/// connection.
const POLLS_UNTIL_CLOSE_IS_SEEN: usize = 2;

type GatherResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Serves a connection of another host until it ends, or until `closing` becomes true and it is idle.
pub(crate) async fn serve(core: Arc<Core>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    // Bounded by the listener. The sender would take a closed connection for a request that may have run.
    let _charge = core.memory.charge_always(BUFFER_BYTES);
    let stream = SharedStream::new(stream);
    let connected = stream.clone();
    let service = service_fn(move |req| {
        let (core, connected) = (Arc::clone(&core), connected.clone());
        async move { Ok::<_, Infallible>(respond(core, &connected, req).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The other host handles the error of its connection; nothing remains to be done here.
        _ = connection.as_mut() => return,
        Ok(()) = closing.changed() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(core: Arc<Core>, connected: &SharedStream, req: Request<Incoming>) -> GatherResponse {
    let arrived_at = now();
    let is_gather = match req.uri().path() {
        GATHER_PATH => true,
        FORWARD_PATH => false,
        _ => {
            return plain_text(
                StatusCode::NOT_FOUND,
                "only gathers and forwarded requests are served here\n",
            );
        }
    };
    let body = match tokio::time::timeout(MESSAGE_TIMEOUT, read_message(&core, req.into_body())).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return refusal,
        Err(_) => return plain_text(StatusCode::REQUEST_TIMEOUT, "the message did not arrive in time\n"),
    };
    if core.is_partitioned() {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "this host reaches no target\n");
    }
    see_closed_connection().await;
    let sender = SenderWatch::new(connected.clone());
    if sender.has_given_up() {
        // Nobody reads the response, and the sender may have sent the request elsewhere.
        return plain_text(StatusCode::REQUEST_TIMEOUT, "the sender has given up\n");
    }
    if is_gather {
        respond_to_gather(core, arrived_at, body, sender).await
    } else {
        respond_to_forward(core, arrived_at, body, sender).await
    }
}

/// Reads a message, whose memory and that of the request decoded from it stay charged until it is dropped.
async fn read_message(core: &Core, mut body: Incoming) -> Result<Bytes, GatherResponse> {
    let mut whole = core.memory.buffer(MemoryUse::Messages, MESSAGE_BYTES_MAX);
    let mut announced = body.size_hint().lower();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| plain_text(StatusCode::BAD_REQUEST, "the message broke off\n"))?;
        let Ok(data) = frame.into_data() else { continue };
        announced = announced.max((whole.len() + data.len()) as u64);
        if announced > MESSAGE_BYTES_MAX as u64 {
            return Err(plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the message is too large\n"));
        }
        if !core.make_room(None, || whole.add(&data)).await {
            return Err(no_memory());
        }
    }
    if !core.make_room(None, || whole.charge_copy()).await {
        return Err(no_memory());
    }
    Ok(whole.freeze())
}

/// The sender asks another host then, as this one has run nothing.
fn no_memory() -> GatherResponse {
    log_event(Code::MessageRefused, "", "");
    plain_text(StatusCode::SERVICE_UNAVAILABLE, "there is no memory for the message now\n")
}

async fn respond_to_gather(
    core: Arc<Core>,
    arrived_at: Instant,
    body: Bytes,
    sender: SenderWatch,
) -> GatherResponse {
    let Some((call, mut req)) = decode::<GatherCall>(&core, &body) else { return unreadable() };
    req.sender = Some(sender);
    set_homes(&core, &call.route, &mut req);
    let is_same = |table: &Arc<RouteTable>| find(table, &call, &req.homes).is_some();
    let Some(table) = core.table.load_full().filter(is_same) else {
        return other_configuration();
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let shared = Arc::clone(&core);
    let task = tokio::spawn(async move {
        // Its charge covers the decoded copy, too.
        let _message = body;
        if let Some((route, plan)) = find(&table, &call, &req.homes) {
            let answer_at = arrived_at + Duration::from_micros(call.answer_in_us);
            let options = GatherOptions { is_repeat: call.is_repeat, answer_at };
            let reply = gather(&core, route, plan, &call, req, options, tx.clone()).await;
            let held_us = now().saturating_duration_since(arrived_at).as_micros() as u64;
            // Sending fails if the other host has closed the connection.
            let _ = tx.send(GatherReply { held_us, ..reply });
        }
    });
    accepted(shared, rx, task)
}

async fn respond_to_forward(
    core: Arc<Core>,
    arrived_at: Instant,
    body: Bytes,
    sender: SenderWatch,
) -> GatherResponse {
    let Some((call, mut req)) = decode::<ForwardCall>(&core, &body) else { return unreadable() };
    req.sender = Some(sender);
    set_homes(&core, &call.route, &mut req);
    let Some(table) = core.table.load_full().filter(|table| find_route(table, &call).is_some()) else {
        return other_configuration();
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let shared = Arc::clone(&core);
    let task = tokio::spawn(async move {
        // Its charge covers the decoded copy, too.
        let _message = body;
        if let Some(route) = find_route(&table, &call) {
            let answer_at = arrived_at + Duration::from_micros(call.answer_in_us);
            // Sending fails if the other host has closed the connection.
            let _ = tx.send(send_for_other(&core, route, &call, req, answer_at).await);
        }
    });
    accepted(shared, rx, task)
}

/// Lets the HTTP library see whether the sender has closed the connection meanwhile and sent the request
/// elsewhere; it drops this future then.
async fn see_closed_connection() {
    for _ in 0..POLLS_UNTIL_CLOSE_IS_SEEN {
        tokio::task::yield_now().await;
    }
}

/// Returns the response of an accepted call. Its head is sent at once and tells the sender that the
/// call is accepted. Replies follow as they become ready; the task is aborted when the sender closes the
/// connection. The body ends before a reply for which there is no memory.
fn accepted<R: Framed + Send + 'static>(
    core: Arc<Core>,
    replies: mpsc::UnboundedReceiver<R>,
    task: JoinHandle<()>,
) -> GatherResponse {
    let frames = stream::unfold((core, replies, AbortOnDrop(task)), |(core, mut rx, task)| async move {
        let reply = rx.recv().await?;
        let frame = encode_frame(&reply);
        // A refusal is small and must not be lost to a flood: the sender would take it for a request that may have run.
        let frame = core.memory.hold(MemoryUse::Replies.for_size(frame.len()), frame)?;
        Some((Ok::<_, Infallible>(Frame::data(frame)), (core, rx, task)))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Aborts a gather when its replies are no longer read.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn gather(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    call: &GatherCall,
    req: CallerRequest,
    options: GatherOptions,
    replies: mpsc::UnboundedSender<GatherReply>,
) -> GatherReply {
    if core.refuses_for_others(&req) {
        return GatherReply { may_have_run: options.is_repeat, ..GatherReply::not_run() };
    }
    let shards = call.shards.as_ref().map_or(plan.shards.len(), Vec::len);
    let Some(_charge) = core.charge_parts(shards, &req.headers) else {
        let not_asked = call.shards.clone().unwrap_or_default();
        return GatherReply { may_have_run: options.is_repeat, not_asked, ..GatherReply::not_run() };
    };
    let req = Arc::new(req);
    match &call.shards {
        None => run_gather(core, route, plan, &req, options).await,
        Some(shards) => run_parts(core, route, plan, &req, shards, options, replies).await,
    }
}

/// Sets the homes of another host's request by the configuration in force here.
fn set_homes(core: &Core, route: &str, req: &mut CallerRequest) {
    if let Some(table) = core.table.load().as_deref().filter(|table| table.has_homes()) {
        req.homes = core.homes_of(table, table.find_by_name(route), req);
    }
}

/// Returns the route and the plan of a call, if plan and homes of the request are the same here.
fn find<'a>(table: &'a RouteTable, call: &GatherCall, homes: &Homes) -> Option<(&'a Route, &'a GatherPlan)> {
    let route = table.find_by_name(&call.route)?;
    match &route.backend {
        Backend::Gather(plan) if plan.fingerprint_within(homes) == call.plan => Some((route, plan)),
        _ => None,
    }
}

/// Decodes a call and the caller's request in it.
fn decode<C>(core: &Core, body: &[u8]) -> Option<(C, CallerRequest)>
where
    C: DeserializeOwned,
    for<'a> CarriedRequest<'a>: From<&'a C>,
{
    let call: C = egret_wire::decode(body).ok()?;
    let req = CarriedRequest::from(&call).into_caller_request(core)?;
    Some((call, req))
}

/// A caller's request in a message of another host.
struct CarriedRequest<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a [(String, Bytes)],
    body: &'a Bytes,
    deadline_ms: u64,
    age_ms: u64,
}

impl<'a> From<&'a GatherCall> for CarriedRequest<'a> {
    fn from(call: &'a GatherCall) -> Self {
        let &GatherCall { ref method, ref path, ref headers, ref body, deadline_ms, age_ms, .. } = call;
        Self { method, path, headers, body, deadline_ms, age_ms }
    }
}

impl<'a> From<&'a ForwardCall> for CarriedRequest<'a> {
    fn from(call: &'a ForwardCall) -> Self {
        let &ForwardCall { ref method, ref path, ref headers, ref body, deadline_ms, age_ms, .. } = call;
        Self { method, path, headers, body, deadline_ms, age_ms }
    }
}

impl CarriedRequest<'_> {
    fn into_caller_request(self, core: &Core) -> Option<CallerRequest> {
        let headers = decode_headers(self.headers)?;
        let uri: hyper::Uri = self.path.parse().ok()?;
        Some(CallerRequest {
            id: headers.get(&core.options.headers.request_id)?.clone(),
            method: self.method.parse().ok()?,
            host: String::new(),
            headers,
            body: self.body.clone(),
            arrived_at: now().checked_sub(Duration::from_millis(self.age_ms))?,
            is_new_connection: false,
            deadline: Duration::from_millis(self.deadline_ms),
            fingerprint: fingerprint_of(&uri, self.body),
            sent_to: SentTo::default(),
            homes: Homes::default(),
            sender: None,
            uri,
        })
    }
}

fn unreadable() -> GatherResponse {
    plain_text(StatusCode::BAD_REQUEST, "the message cannot be read: check the sender's version\n")
}

fn other_configuration() -> GatherResponse {
    plain_text(StatusCode::CONFLICT, "another configuration is in force here\n")
}

fn plain_text(status: StatusCode, text: &'static str) -> GatherResponse {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())).boxed_unsync());
    *reply.status_mut() = status;
    reply
}
