//! The network of a scenario.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use egret_node::{Call, Carrier, Exchange, ExchangeError, HttpClient};
use futures_util::future::BoxFuture;
use tokio::time::sleep;

use super::process::{ProcessState, Route};

/// The time that a message takes each way.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);

/// Routes messages between processes; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedNetwork {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    routes: Vec<Route>,
    /// Hosts that reach only each other, and that no other host reaches.
    side: Vec<usize>,
    /// Data centres that reach only each other, with their hosts and targets.
    cut_data_centres: Vec<usize>,
    /// The most that a message may take longer than usual.
    jitter: Duration,
    traffic: Vec<Traffic>,
}

/// The messages of one path so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// The path, without parameters.
    pub path: String,
    /// Exchanges that were answered.
    pub exchanges: u64,
    /// Bytes of bodies both ways; HTTP heads come on top.
    pub body_bytes: u64,
}

impl SimulatedNetwork {
    /// Lets a process listen, in place of one that listened at its address before.
    pub(crate) fn listen(&self, route: Route) {
        let mut inner = self.lock();
        inner.routes.retain(|other| other.address != route.address);
        inner.routes.push(route);
    }

    /// Returns a client for the connections of a process.
    pub(crate) fn client(&self, process: &ProcessState) -> HttpClient {
        HttpClient::carried(Arc::new(ProcessCarrier { net: self.clone(), process: process.clone() }))
    }

    /// Cuts the hosts of one side off from all other hosts.
    pub(crate) fn partition(&self, side: Vec<usize>) {
        self.lock().side = side;
    }

    /// Cuts data centres off from all others, with their hosts and targets.
    pub(crate) fn cut_data_centres(&self, cut: Vec<usize>) {
        self.lock().cut_data_centres = cut;
    }

    /// Lets each message take up to `jitter` longer, so that later ones overtake earlier ones.
    pub(crate) fn set_jitter(&self, jitter: Duration) {
        self.lock().jitter = jitter;
    }

    /// Returns the traffic of one path so far.
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

    /// Waits until a message can pass, which may be for ever.
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
        call: Call,
    ) -> Result<Exchange, ExchangeError> {
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
        let (path, sent) = (call.path.clone(), call.body.len());
        let answer = async {
            let answer = (route.handler)(call).await;
            self.count(&path, sent + answer.as_ref().map_or(0, |answer| answer.body.len()));
            self.deliver(&from, &route).await;
            answer
        };
        tokio::select! {
            biased;
            () = route.process.wait_until_killed() => Err(killed()),
            // A killed process learns nothing more.
            () = from.wait_until_killed() => std::future::pending().await,
            answer = answer => answer.ok_or_else(killed),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether two processes are on different sides; one that has no side reaches both.
fn is_separated(side: &[usize], from: Option<usize>, to: Option<usize>) -> bool {
    from.zip(to).is_some_and(|(from, to)| side.contains(&from) != side.contains(&to))
}

/// Carries the requests of one process.
#[derive(Debug)]
struct ProcessCarrier {
    net: SimulatedNetwork,
    process: ProcessState,
}

impl Carrier for ProcessCarrier {
    fn carry(&self, to: SocketAddr, call: Call) -> BoxFuture<'static, Result<Exchange, ExchangeError>> {
        Box::pin(self.net.clone().exchange(self.process.clone(), to, call))
    }
}
