//! A TCP listener that serves each connection on a task and can be drained.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use egret_events::{Code, log_event};
use egret_node::limit_receive_buffer;
use socket2::TcpKeepalive;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::Instant,
};

use crate::connection_limit::ConnectionLimit;

const ACCEPT_BACKLOG: i32 = 1024;
/// How long to wait after `accept` failed, as when the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long sent bytes may stay unacknowledged; longer than a short interruption of a link.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(10);
/// After how long without data the peer is probed, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A listening address whose connections are each served on a task.
#[derive(Debug)]
pub(crate) struct Listener {
    closing: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

/// Counts a connection as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Listener {
    /// Listens on the current runtime; connections have a receive buffer of this many bytes. `serve` gets each connection, with a receiver that becomes
    /// `true` when the connection should end.
    pub(crate) fn bind<F>(
        address: SocketAddr,
        receive_buffer: usize,
        limit: ConnectionLimit,
        serve: impl Fn(TcpStream, watch::Receiver<bool>) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = listen(address, receive_buffer)?;
        let (closing, closed) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = tokio::spawn(accept(listener, limit, closed, Arc::clone(&open), serve));
        Ok(Self { closing, open, accepting })
    }

    /// Makes connections end once they are idle, waits for them at most until `until`, and stops
    /// listening.
    pub(crate) async fn drain(&self, until: Instant) {
        self.closing.send_replace(true);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.accepting.abort();
    }
}

async fn accept<F>(
    listener: TcpListener,
    limit: ConnectionLimit,
    closing: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
    serve: impl Fn(TcpStream, watch::Receiver<bool>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if prepare(&stream).is_err() {
                    // The peer has already closed the connection.
                    continue;
                }
                // Dropping the stream closes the connection.
                let Some(permit) = limit.admit().await else { continue };
                open.fetch_add(1, Ordering::SeqCst);
                let open_guard = OpenGuard(Arc::clone(&open));
                let serving = serve(stream, closing.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop((open_guard, permit));
                });
            }
            Err(error) => {
                log_event(Code::AcceptFailed, "", &error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Sets timeouts that end a connection whose peer cannot be reached, which would stay open forever.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL),
    )
}

fn listen(address: SocketAddr, receive_buffer: usize) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    limit_receive_buffer(&socket, address, receive_buffer);
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
