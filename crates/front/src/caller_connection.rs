//! A caller's connection: serves its requests and enforces its time limits.

use std::{
    convert::Infallible,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::Shortage;
use egret_routes::CallerLimits;
use hyper::{body::Body, header::HeaderValue, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch};

use crate::{
    answer::answer,
    caller_connections::OpenConnection,
    clock::now,
    core::Core,
    memory_account::MemoryUse,
    reply::DueAt,
    timed_io::{Activity, ActivityCell, TimedIo},
};

/// How often a connection's time limits are checked.
const LIMITS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest buffer that the HTTP library accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8192;
/// What a connection needs besides the buffer of its head, in bytes: its task, its write buffer, and the
/// parsed headers.
const CONNECTION_BYTES: usize = 8192;

/// Serves a caller's connection until it ends, or until `closing` becomes true and it is idle.
pub(crate) fn serve(
    core: Arc<Core>,
    stream: TcpStream,
    closing: watch::Receiver<bool>,
) -> impl Future<Output = ()> + Send + 'static {
    // Set before the future is created: on a busy host the future starts to run later.
    // It fails if the caller has already closed the connection.
    let address =
        stream.peer_addr().map_or(IpAddr::from(Ipv4Addr::UNSPECIFIED), |peer| peer.ip().to_canonical());
    let activity = ActivityCell::accepted_at(now(), address);
    let open = OpenConnection::new(&core, &activity);
    serve_accepted(core, stream, activity, open, closing)
}

async fn serve_accepted(
    core: Arc<Core>,
    stream: TcpStream,
    activity: ActivityCell,
    _open: OpenConnection,
    mut closing: watch::Receiver<bool>,
) {
    let limits = core.table.load().as_ref().map_or_else(CallerLimits::default, |table| table.limits());
    let header_bytes_max = limits.header_bytes.max(BUFFER_BYTES_MIN);
    let mut charge = None;
    let charge_connection = || {
        charge = core.connection_memory.charge(MemoryUse::Ordinary, header_bytes_max + CONNECTION_BYTES);
        charge.is_some()
    };
    if !core.make_room(Shortage::Connections, Some(&activity), charge_connection).await {
        return;
    }
    let io = TokioIo::new(TimedIo { stream, activity: activity.clone(), core: Arc::clone(&core) });
    let shared = activity.clone();
    let service = service_fn(move |req| {
        let core = Arc::clone(&core);
        let activity = shared.clone();
        async move {
            let arrival = activity.begin();
            let mut reply = answer(core, req, arrival, &activity).await;
            let due_at = reply.extensions_mut().remove::<DueAt>().map(|DueAt(due_at)| due_at);
            let head: usize = reply.headers().values().map(HeaderValue::len).sum();
            activity.answered(due_at, head + reply.body().size_hint().lower() as usize);
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(header_bytes_max)
        .auto_date_header(false)
        // The library's own timeout would also end idle connections.
        .header_read_timeout(None)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut is_closing = false;
    let mut is_evicted = false;
    loop {
        tokio::select! {
            // The caller handles the error of its connection; nothing remains to be done here.
            _ = connection.as_mut() => return,
            Ok(()) = closing.changed(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = activity.evicted(), if !is_evicted => {
                is_evicted = true;
                match activity.get() {
                    Activity::Header(_) => return,
                    Activity::Idle(_) if activity.is_blocked() => return,
                    _ => connection.as_mut().graceful_shutdown(),
                }
            }
            () = tokio::time::sleep(LIMITS_CHECK_INTERVAL) => match overdue(activity.get(), limits) {
                Overdue::Nothing => {}
                Overdue::Idle => connection.as_mut().graceful_shutdown(),
                Overdue::Header => return,
            }
        }
    }
}

/// Which time limit of a connection has passed.
enum Overdue {
    Nothing,
    Idle,
    Header,
}

fn overdue(activity: Activity, limits: CallerLimits) -> Overdue {
    let age = |since: Instant| now().saturating_duration_since(since).as_millis() as u64;
    match activity {
        Activity::Idle(since) if age(since) > limits.idle_timeout_ms => Overdue::Idle,
        Activity::Header(since) if age(since) > limits.header_timeout_ms => Overdue::Header,
        _ => Overdue::Nothing,
    }
}
