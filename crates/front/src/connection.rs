//! One connection to a target.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    bounded_io::{Allowance, BoundedIo},
    clock::now,
    target::Target,
};

/// Longer than the ways between data centres and a busy target's handshake need.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long sent bytes may stay unacknowledged; a cut link breaks the connection then.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2000);
/// How long a connection may stay idle where the target says nothing of it.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// How long before the target's own limit an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// How long a connection may need to take a new request after it gave an answer.
const READY_WAIT: Duration = Duration::from_millis(5);
/// Bytes of the head of an answer, and of what is read ahead, at most.
pub(crate) const HEAD_BYTES_MAX: usize = 32 << 10;

/// One connection to a target, used for one exchange at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) idle_max: Duration,
    /// What may still come for the exchange that uses the connection.
    pub(crate) allowance: Allowance,
    idle_since: Instant,
}

/// Counts a connection as open at its target until its driver ends.
struct Open(Arc<Target>);

impl Open {
    fn count(target: &Arc<Target>) -> Self {
        target.state().open_connections += 1;
        Self(Arc::clone(target))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.state().open_connections -= 1;
        self.0.connection_freed.notify_one();
    }
}

impl Connection {
    /// Opens a connection; `None` where the target cannot be reached.
    pub(crate) async fn open(target: &Arc<Target>) -> Option<Self> {
        let open = Open::count(target);
        let connecting = TcpStream::connect(target.replica.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        prepare(&stream).ok()?;
        let allowance = Allowance::default();
        let io = TokioIo::new(BoundedIo::new(stream, allowance.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(HEAD_BYTES_MAX).handshake(io).await.ok()?;
        tokio::spawn(async move {
            // The exchange that uses the connection sees how it ends.
            let _ = driver.await;
            drop(open);
        });
        Some(Self { sender, idle_max: IDLE_DEFAULT, allowance, idle_since: now() })
    }

    /// Takes an idle connection that still works.
    pub(crate) async fn reuse(target: &Arc<Target>) -> Option<Self> {
        loop {
            let mut connection = target.state().idle_connections.pop()?;
            let age = now().saturating_duration_since(connection.idle_since);
            if age + IDLE_MARGIN > connection.idle_max || connection.sender.is_closed() {
                continue;
            }
            let ready = tokio::time::timeout(READY_WAIT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Keeps the connection for another exchange.
    pub(crate) fn keep(mut self, target: &Arc<Target>) {
        if self.sender.is_closed() || target.is_retired() {
            return;
        }
        self.idle_since = now();
        target.state().idle_connections.push(self);
        target.connection_freed.notify_one();
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
