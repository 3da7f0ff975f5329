//! The server of a gatherer: gathers for other hosts.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use egret_routes::{Backend, GatherPlan, Route, RouteTable};
use futures_util::stream;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{HeaderName, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    task::JoinHandle,
};

use crate::{
    caller_request::{CallerRequest, fingerprint_of},
    clock::now,
    core::Core,
    delegate::GATHER_PATH,
    gather::{run_gather, run_parts},
    gather_call::{GatherCall, GatherReply},
    gather_frames::encode_frame,
    gather_options::GatherOptions,
};

/// The limit of another host's message, in bytes: a caller's body and headers fit.
const MESSAGE_BYTES_MAX: usize = 16 << 20;

/// With the first poll the HTTP library reads the end of the request, with the second one the end of the
/// connection.
const POLLS_UNTIL_CLOSE_IS_SEEN: usize = 2;

type GatherResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Serves a connection of another host until it ends, or until `closing` becomes true and it is idle.
pub(crate) async fn serve(core: Arc<Core>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let service = service_fn(move |req| {
        let core = Arc::clone(&core);
        async move { Ok::<_, Infallible>(respond(core, req).await) }
    });
    let connection =
        http1::Builder::new().header_read_timeout(None).serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The other host handles the error of its connection; nothing remains to be done here.
        _ = connection.as_mut() => return,
        Ok(()) = closing.changed() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(core: Arc<Core>, req: Request<Incoming>) -> GatherResponse {
    let arrived_at = now();
    if req.uri().path() != GATHER_PATH {
        return plain_text(StatusCode::NOT_FOUND, "only gathers are served here\n");
    }
    let body = match Limited::new(req.into_body(), MESSAGE_BYTES_MAX).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the message is too large\n");
        }
        Err(_) => return plain_text(StatusCode::BAD_REQUEST, "the message broke off\n"),
    };
    if core.is_partitioned() {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "this host reaches no target\n");
    }
    let Some((call, req)) = decode(&core, &body) else {
        return plain_text(
            StatusCode::BAD_REQUEST,
            "the message cannot be read: check the sender's version\n",
        );
    };
    let Some(table) = core.table.load_full().filter(|table| find(table, &call).is_some()) else {
        return plain_text(StatusCode::CONFLICT, "another configuration is in force here\n");
    };
    // The sender may have closed the connection meanwhile and sent the request elsewhere. The HTTP library
    // sees that when it polls the connection, and drops this future then.
    for _ in 0..POLLS_UNTIL_CLOSE_IS_SEEN {
        tokio::task::yield_now().await;
    }
    // The head of the response is sent at once and tells the sender that the request is accepted.
    // Replies follow as they become ready. The gather is aborted when the sender closes the
    // connection.
    let (tx, rx) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        if let Some((route, plan)) = find(&table, &call) {
            let answer_at = arrived_at + Duration::from_micros(call.answer_in_us);
            let options = GatherOptions { is_repeat: call.is_repeat, answer_at };
            let reply = gather(&core, route, plan, &call, req, options, tx.clone()).await;
            let held_us = now().saturating_duration_since(arrived_at).as_micros() as u64;
            // Sending fails if the other host has closed the connection.
            let _ = tx.send(GatherReply { held_us, ..reply });
        }
    });
    let replies = stream::unfold((rx, AbortOnDrop(task)), |(mut rx, task)| async move {
        let reply = rx.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(encode_frame(&reply))), (rx, task)))
    });
    Response::new(StreamBody::new(replies).boxed_unsync())
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
    if core.suspects().is_poison(now(), req.fingerprint) {
        return GatherReply { may_have_run: options.is_repeat, ..GatherReply::not_run() };
    }
    let req = Arc::new(req);
    match &call.shards {
        None => run_gather(core, route, plan, &req, options).await,
        Some(shards) => run_parts(core, route, plan, &req, shards, options, replies).await,
    }
}

fn find<'a>(table: &'a RouteTable, call: &GatherCall) -> Option<(&'a Route, &'a GatherPlan)> {
    let route = table.find_by_name(&call.route)?;
    match &route.backend {
        Backend::Gather(plan) if plan.fingerprint() == call.plan => Some((route, plan)),
        _ => None,
    }
}

fn decode(core: &Core, body: &[u8]) -> Option<(GatherCall, CallerRequest)> {
    let call: GatherCall = egret_wire::decode(body).ok()?;
    let mut headers = HeaderMap::with_capacity(call.headers.len());
    for (name, value) in &call.headers {
        headers.append(name.parse::<HeaderName>().ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    let uri: hyper::Uri = call.path.parse().ok()?;
    let req = CallerRequest {
        id: headers.get(&core.options.headers.request_id)?.clone(),
        method: call.method.parse().ok()?,
        host: String::new(),
        headers,
        body: call.body.clone(),
        arrived_at: now().checked_sub(Duration::from_millis(call.age_ms))?,
        is_new_connection: false,
        deadline: Duration::from_millis(call.deadline_ms),
        fingerprint: fingerprint_of(&uri, &call.body),
        uri,
    };
    Some((call, req))
}

fn plain_text(status: StatusCode, text: &'static str) -> GatherResponse {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())).boxed_unsync());
    *reply.status_mut() = status;
    reply
}
