//! A connection to a target or a gatherer.

use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use egret_node::limit_receive_buffer;
use egret_policy::ConnectOutcome;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};

use crate::{
    bounded_io::{Allowance, BoundedIo},
    clock::now,
    front::PEER_RECEIVE_BUFFER,
    memory_account::Charge,
    target::Target,
};

/// Longer than a handshake takes with a busy target in another data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long sent bytes may stay unacknowledged before the connection breaks, as after a cut link.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2000);
/// The idle timeout of a connection for which the target states none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// How long before the target's idle timeout a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// How long a connection may take to accept a new request after it delivered an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// The limit of the head of an answer with the bytes that are read ahead, in bytes.
pub(crate) const HEAD_BYTES_MAX: usize = 32 << 10;

/// One connection to a target, used for one exchange at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) idle_timeout: Duration,
    /// How many bytes may still be read for the exchange that uses the connection.
    pub(crate) allowance: Allowance,
    idle_since: Instant,
}

/// Counts a connection as open at its target until its driver ends.
struct OpenGuard {
    target: Arc<Target>,
    _charge: Option<Charge>,
}

impl OpenGuard {
    fn new(target: &Arc<Target>) -> Self {
        target.state().open_connections += 1;
        Self { target: Arc::clone(target), _charge: target.connection_memory.charge_target_connection() }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.target.state().open_connections -= 1;
        self.target.connection_freed.notify_one();
    }
}

impl Connection {
    /// Opens a connection; returns `None` if the target cannot be reached.
    pub(crate) async fn open(target: &Arc<Target>) -> Option<Self> {
        Self::try_open(target).await.ok()
    }

    /// Opens a connection, and records at the target whether it can be reached.
    ///
    /// # Errors
    /// Returns what the attempt showed if the target cannot be reached.
    pub(crate) async fn try_open(target: &Arc<Target>) -> Result<Self, ConnectOutcome> {
        let connecting = connect(target.source, target.replica.address);
        let open_guard = OpenGuard::new(target);
        let outcome = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => Self::start(stream, open_guard).await.ok_or(ConnectOutcome::Silent),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Err(ConnectOutcome::Refused),
            Ok(Err(_)) | Err(_) => Err(ConnectOutcome::Silent),
        };
        target.state().record_reached(now(), outcome.is_ok());
        outcome
    }

    async fn start(stream: TcpStream, open_guard: OpenGuard) -> Option<Self> {
        prepare(&stream).ok()?;
        let allowance = Allowance::default();
        let io = TokioIo::new(BoundedIo::new(stream, allowance.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(HEAD_BYTES_MAX).handshake(io).await.ok()?;
        tokio::spawn(async move {
            // The exchange that uses the connection handles its errors.
            let _ = driver.await;
            drop(open_guard);
        });
        Some(Self { sender, idle_timeout: IDLE_TIMEOUT_DEFAULT, allowance, idle_since: now() })
    }

    /// Takes an idle connection that still works; connections that do not are dropped.
    pub(crate) async fn reuse(target: &Arc<Target>) -> Option<Self> {
        loop {
            let mut connection = target.state().idle_connections.pop()?;
            let age = now().saturating_duration_since(connection.idle_since);
            if age + IDLE_MARGIN > connection.idle_timeout || connection.sender.is_closed() {
                continue;
            }
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Returns the connection to the target's idle ones for another exchange.
    pub(crate) fn keep(mut self, target: &Arc<Target>) {
        if self.sender.is_closed() || target.is_retired() {
            return;
        }
        self.idle_since = now();
        target.state().idle_connections.push(self);
        target.connection_freed.notify_one();
    }
}

/// Connects from the host's own address, so that targets and firewalls see one address per host.
async fn connect(source: IpAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if source.is_ipv4() == target.is_ipv4() && !source.is_unspecified() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    limit_receive_buffer(&socket, target, PEER_RECEIVE_BUFFER);
    socket.connect(target).await
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
