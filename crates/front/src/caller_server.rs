//! The address where callers connect.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::Instant};

use crate::{caller_connection, core::Core};

const BACKLOG_CONNECTIONS: i32 = 1024;
/// How long to wait after the system had no descriptor for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const STOP_POLL: Duration = Duration::from_millis(10);

/// A running server for callers.
#[derive(Debug)]
pub(crate) struct CallerServer {
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

impl CallerServer {
    /// Listens for callers; must be called on the traffic runtime.
    pub(crate) fn bind(core: Arc<Core>, address: SocketAddr) -> io::Result<Self> {
        let listener = listen(address)?;
        let (closing, closed) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = tokio::spawn(accept(core, listener, closed, Arc::clone(&open)));
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

async fn accept(
    core: Arc<Core>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                open.fetch_add(1, Ordering::SeqCst);
                let counted = Counted(Arc::clone(&open));
                let serving = caller_connection::serve(Arc::clone(&core), stream, closing.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(counted);
                });
            }
            Err(error) => {
                egret_events::log_decision(egret_events::Code::AcceptFailed, "", &error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
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
