//! The network of a scenario.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use egret_node::{Call, Carrier, Exchange, ExchangeError, HttpClient};
use futures_util::future::BoxFuture;
use tokio::time::sleep;

use super::route::{Place, Route};

/// The time that a message takes each way.
const ONE_WAY: Duration = Duration::from_micros(500);

/// Routes messages between processes; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Net {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    routes: Vec<Route>,
    /// Hosts that reach only each other, and that no other host reaches.
    side: Vec<usize>,
}

impl Net {
    /// Lets a process listen, in place of one that listened at its address before.
    pub(crate) fn listen(&self, route: Route) {
        let mut inner = self.lock();
        inner.routes.retain(|other| other.address != route.address);
        inner.routes.push(route);
    }

    /// Returns a client for the connections of a process.
    pub(crate) fn client(&self, place: &Place) -> HttpClient {
        HttpClient::carried(Arc::new(PlaceCarrier { net: self.clone(), place: place.clone() }))
    }

    /// Cuts the hosts of one side off from all other hosts.
    pub(crate) fn part(&self, side: Vec<usize>) {
        self.lock().side = side;
    }

    fn route(&self, address: SocketAddr) -> Option<Route> {
        self.lock().routes.iter().find(|route| route.address == address).cloned()
    }

    fn is_cut(&self, from: &Place, to: &Route) -> bool {
        if to.is_platform && from.is_cut_from_platform() {
            return true;
        }
        let side = &self.lock().side;
        match (from.host, to.place.host) {
            (Some(from), Some(to)) => side.contains(&from) != side.contains(&to),
            _ => false,
        }
    }

    /// Waits until a message can pass, which may be for ever.
    async fn pass(&self, from: &Place, to: &Route) {
        sleep(ONE_WAY).await;
        if self.is_cut(from, to) {
            std::future::pending::<()>().await;
        }
        from.awake().await;
        to.place.awake().await;
    }

    async fn exchange(self, from: Place, to: SocketAddr, call: Call) -> Result<Exchange, ExchangeError> {
        let not_sent = Err(ExchangeError::NotSent { address: to });
        let Some(route) = self.route(to) else { return not_sent };
        if from.is_killed() {
            return not_sent;
        }
        self.pass(&from, &route).await;
        if route.place.is_killed() {
            return not_sent;
        }
        let answer = async {
            let answer = (route.handler)(call).await;
            self.pass(&from, &route).await;
            answer
        };
        tokio::select! {
            biased;
            () = route.place.killed() => Err(ExchangeError::Broken { address: to }),
            // A killed process learns nothing more.
            () = from.killed() => std::future::pending().await,
            answer = answer => answer.ok_or(ExchangeError::Broken { address: to }),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries the requests of one process.
#[derive(Debug)]
struct PlaceCarrier {
    net: Net,
    place: Place,
}

impl Carrier for PlaceCarrier {
    fn carry(&self, to: SocketAddr, call: Call) -> BoxFuture<'static, Result<Exchange, ExchangeError>> {
        Box::pin(self.net.clone().exchange(self.place.clone(), to, call))
    }
}
