//! The network of a simulated fleet.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use egret_node::{ExchangeError, HttpClient, HttpRequest, HttpResponse, Transport};
use futures_util::future::BoxFuture;
use tokio::time::sleep;

use super::process::{ProcessState, Route};

/// The time that a message takes in one direction, without jitter.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);

/// Carries messages between the processes; clones share its state.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedNetwork {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    routes: Vec<Route>,
    /// One side of a partition between hosts; empty without a partition.
    side: Vec<usize>,
    /// Data centres that are cut off together, with their hosts and targets, from all others.
    cut_data_centres: Vec<usize>,
    /// The longest random delay that is added to [`ONE_WAY_DELAY`].
    jitter: Duration,
    traffic: Vec<Traffic>,
}

/// Counts of the exchanges on one request path since the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// The request path, without query parameters.
    pub path: String,
    /// Requests that the receiver answered, or whose connection it broke.
    pub exchanges: u64,
    /// Bytes of the bodies of requests and answers, without HTTP heads.
    pub body_bytes: u64,
}

impl SimulatedNetwork {
    /// Registers a listening process, in place of an earlier one at the same address.
    pub(crate) fn listen(&self, route: Route) {
        let mut inner = self.lock();
        inner.routes.retain(|other| other.address != route.address);
        inner.routes.push(route);
    }

    /// Returns a client that sends from the given process.
    pub(crate) fn client(&self, process: &ProcessState) -> HttpClient {
        HttpClient::with_transport(Arc::new(ProcessTransport { net: self.clone(), process: process.clone() }))
    }

    /// Cuts the hosts of one side off from all other hosts; an empty list ends the partition.
    pub(crate) fn partition(&self, side: Vec<usize>) {
        self.lock().side = side;
    }

    /// Cuts data centres, with their hosts and targets, off from all others; an empty list ends it.
    pub(crate) fn cut_data_centres(&self, cut: Vec<usize>) {
        self.lock().cut_data_centres = cut;
    }

    /// Delays each message by a random time of up to `jitter`, so that messages arrive out of order.
    pub(crate) fn set_jitter(&self, jitter: Duration) {
        self.lock().jitter = jitter;
    }

    /// Returns the counts of one path since the start.
    pub(crate) fn traffic(&self, path: &str) -> Traffic {
        let found = self.lock().traffic.iter().find(|traffic| traffic.path == path).cloned();
        found.unwrap_or(Traffic { path: path.to_owned(), exchanges: 0, body_bytes: 0 })
    }

    fn count(&self, path: &str, body_bytes: usize) {
        let mut inner = self.lock();
        let at = match inner.traffic.binary_search_by(|traffic| traffic.path.as_str().cmp(path)) {
            Ok(at) => at,
            Err(at) => {
                inner.traffic.insert(at, Traffic { path: path.to_owned(), exchanges: 0, body_bytes: 0 });
                at
            }
        };
        inner.traffic[at].exchanges += 1;
        inner.traffic[at].body_bytes += body_bytes as u64;
    }

    fn route(&self, address: SocketAddr) -> Option<Route> {
        self.lock().routes.iter().find(|route| route.address == address).cloned()
    }

    fn is_cut(&self, from: &ProcessState, to: &Route) -> bool {
        if to.is_platform && from.is_cut_from_platform() {
            return true;
        }
        let inner = self.lock();
        is_separated(&inner.side, from.host, to.process.host)
            || is_separated(&inner.cut_data_centres, from.data_centre, to.process.data_centre)
    }

    /// Waits while a message is under way: for ever if a cut drops it, else until neither process is paused.
    async fn deliver(&self, from: &ProcessState, to: &Route) {
        let jitter = self.lock().jitter;
        sleep(ONE_WAY_DELAY + jitter.mul_f64(fastrand::f64())).await;
        if self.is_cut(from, to) {
            std::future::pending::<()>().await;
        }
        from.wait_until_resumed().await;
        to.process.wait_until_resumed().await;
    }

    async fn exchange(
        self,
        from: ProcessState,
        to: SocketAddr,
        request: HttpRequest,
    ) -> Result<HttpResponse, ExchangeError> {
        let not_sent = Err(ExchangeError::NotSent { address: to, reason: "cut".to_owned() });
        let Some(route) = self.route(to) else { return not_sent };
        if from.is_killed() {
            return not_sent;
        }
        self.deliver(&from, &route).await;
        if route.process.is_killed() {
            return not_sent;
        }
        let killed = || ExchangeError::Broken { address: to, reason: "killed".to_owned() };
        let (path, sent) = (request.path.clone(), request.body.len());
        let answer = async {
            let answer = (route.handler)(request).await;
            self.count(&path, sent + answer.as_ref().map_or(0, |answer| answer.body.len()));
            self.deliver(&from, &route).await;
            answer
        };
        tokio::select! {
            biased;
            () = route.process.wait_until_killed() => Err(killed()),
            // A killed sender receives no answer.
            () = from.wait_until_killed() => std::future::pending().await,
            answer = answer => answer.ok_or_else(killed),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a partition separates two processes.
///
/// A process without a number (`None`), such as a caller, reaches both sides.
fn is_separated(side: &[usize], from: Option<usize>, to: Option<usize>) -> bool {
    from.zip(to).is_some_and(|(from, to)| side.contains(&from) != side.contains(&to))
}

/// Sends the requests of one process over the simulated network.
#[derive(Debug)]
struct ProcessTransport {
    net: SimulatedNetwork,
    process: ProcessState,
}

impl Transport for ProcessTransport {
    fn send(
        &self,
        to: SocketAddr,
        request: HttpRequest,
    ) -> BoxFuture<'static, Result<HttpResponse, ExchangeError>> {
        Box::pin(self.net.clone().exchange(self.process.clone(), to, request))
    }
}
