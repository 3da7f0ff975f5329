//! A caller's connection: serves its requests and enforces its time limits.

use std::{
    convert::Infallible,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::{Duration, Instant},
};

use egret_routes::CallerLimits;
use hyper::{body::Body, header::HeaderValue, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch};

use crate::{
    answer::answer,
    caller_connections::OpenConnection,
    clock::now,
    core::Core,
    reply::DueAt,
    timed_io::{Activity, ActivityCell, TimedIo},
};

/// How often a connection's time limits are checked.
const LIMITS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection that was evicted may take to write the answers that wait.
const EVICTED_END_MAX: Duration = Duration::from_millis(500);
/// The smallest buffer that the HTTP library accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8192;

/// Returns the size of the buffer that is read into, which holds a whole head, in bytes.
pub(crate) fn read_buffer_bytes(limits: CallerLimits) -> usize {
    limits.header_bytes.max(BUFFER_BYTES_MIN)
}

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
    let limits = core.caller_limits();
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
        .max_buf_size(read_buffer_bytes(limits))
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
                if activity.holds_no_request() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
            // A caller that reads nothing would keep its connection.
            () = tokio::time::sleep(EVICTED_END_MAX), if is_evicted => if activity.holds_no_request() {
                return;
            },
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
