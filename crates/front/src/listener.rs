//! An address that takes connections.

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
use socket2::TcpKeepalive;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::Instant,
};

const BACKLOG_CONNECTIONS: i32 = 1024;
/// How long to wait after the system had no descriptor for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long sent bytes may stay unacknowledged; longer than short cuts of a link.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(10);
/// After this silence the peer is probed, and again as often.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(10);
const STOP_POLL: Duration = Duration::from_millis(10);

/// An address that takes connections, each served by a task of its own.
#[derive(Debug)]
pub(crate) struct Listener {
    closing: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Listener {
    /// Listens on the current runtime; `serve` gets each connection, and the sign to end it.
    pub(crate) fn bind<F>(
        address: SocketAddr,
        serve: impl Fn(TcpStream, watch::Receiver<bool>) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = listen(address)?;
        let (closing, closed) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = tokio::spawn(accept(listener, closed, Arc::clone(&open), serve));
        Ok(Self { closing, open, accepting })
    }

    /// Ends idle connections and waits for the others, at most until then.
    pub(crate) async fn drain(&self, until: Instant) {
        self.closing.send_replace(true);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            tokio::time::sleep(STOP_POLL).await;
        }
        self.accepting.abort();
    }
}

async fn accept<F>(
    listener: TcpListener,
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
                    // The peer is gone already.
                    continue;
                }
                open.fetch_add(1, Ordering::SeqCst);
                let counted = Counted(Arc::clone(&open));
                let serving = serve(stream, closing.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(counted);
                });
            }
            Err(error) => {
                log_event(Code::AcceptFailed, "", &error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sets what ends a connection whose peer is cut off, so that it does not stay for good.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_AFTER).with_interval(KEEPALIVE_AFTER))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    TcpListener::from_std(socket.into())
}
