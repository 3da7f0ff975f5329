//! The processes of a simulated fleet, as its network sees them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use egret_node::{HttpHandler, HttpRequest, HttpResponse};
use futures_util::future::BoxFuture;
use tokio::sync::watch;

/// Answers a request; `None` breaks the connection.
pub(crate) type Handler = Arc<dyn Fn(HttpRequest) -> BoxFuture<'static, Option<HttpResponse>> + Send + Sync>;

/// Returns a handler that passes requests to a daemon's [`HttpHandler`].
pub(crate) fn handler(daemon: impl HttpHandler) -> Handler {
    let daemon = Arc::new(daemon);
    Arc::new(move |request| {
        let daemon = Arc::clone(&daemon);
        Box::pin(async move {
            let reply = daemon.respond(request).await;
            Some(HttpResponse { status: reply.status, headers: Default::default(), body: reply.body })
        })
    })
}

/// Where a process runs, and whether it is killed, paused or cut off; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct ProcessState {
    /// The number of the daemon's host; `None` for callers, targets and the platform.
    pub(crate) host: Option<usize>,
    /// The number of the process's data centre; `None` for callers and the platform.
    pub(crate) data_centre: Option<usize>,
    killed: watch::Sender<bool>,
    paused: watch::Sender<bool>,
    cut_from_platform: Arc<AtomicBool>,
}

impl ProcessState {
    pub(crate) fn new(host: Option<usize>, data_centre: Option<usize>) -> Self {
        let (killed, paused) = (watch::Sender::new(false), watch::Sender::new(false));
        Self { host, data_centre, killed, paused, cut_from_platform: Arc::default() }
    }

    /// Creates a process without host and data centre, which no partition separates from others.
    pub(crate) fn external() -> Self {
        Self::new(None, None)
    }

    pub(crate) fn kill(&self) {
        self.killed.send_replace(true);
    }

    pub(crate) fn is_killed(&self) -> bool {
        *self.killed.borrow()
    }

    /// Waits until the process is killed; returns at once if it is.
    pub(crate) async fn wait_until_killed(&self) {
        let _ = self.killed.subscribe().wait_for(|killed| *killed).await;
    }

    pub(crate) fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Waits until the process is not paused.
    pub(crate) async fn wait_until_resumed(&self) {
        let _ = self.paused.subscribe().wait_for(|paused| !*paused).await;
    }

    pub(crate) fn cut_from_platform(&self, is_cut: bool) {
        self.cut_from_platform.store(is_cut, Ordering::SeqCst);
    }

    pub(crate) fn is_cut_from_platform(&self) -> bool {
        self.cut_from_platform.load(Ordering::SeqCst)
    }
}

/// An address with the process that listens on it.
#[derive(Clone)]
pub(crate) struct Route {
    pub(crate) address: SocketAddr,
    pub(crate) process: ProcessState,
    pub(crate) is_platform: bool,
    pub(crate) handler: Handler,
}

impl std::fmt::Debug for Route {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Route").field("address", &self.address).finish_non_exhaustive()
    }
}
