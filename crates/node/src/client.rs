//! The HTTP client of every daemon.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

/// An exchange that failed, and whether the request may have left.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened: not one byte of the request left.
    #[display("no connection to {address}: check that it runs and can be reached")]
    NotSent {
        /// The peer.
        address: SocketAddr,
    },
    /// The time ended; the request may have left.
    #[display("no answer from {address} in time: check its load")]
    Timeout {
        /// The peer.
        address: SocketAddr,
    },
    /// The connection broke; the request may have left.
    #[display("the connection to {address} broke: check that it runs")]
    Broken {
        /// The peer.
        address: SocketAddr,
    },
    /// The answer is not what was asked for.
    #[display("the answer of {address} is not usable ({reason}): check its version")]
    BadAnswer {
        /// The peer.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

impl ExchangeError {
    /// Tells whether the peer certainly received nothing.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// A status and a body.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The HTTP status.
    pub status: u16,
    /// The body, whole.
    pub body: Bytes,
}

/// A client with pooled HTTP/1.1 connections that never sends a request twice.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: reqwest::Client,
}

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

impl HttpClient {
    /// Opens a client that keeps at most `idle` unused connections per peer.
    ///
    /// # Panics
    /// Panics where the library cannot be initialised, which is a bug.
    #[must_use]
    pub fn open(idle: usize) -> Self {
        Self::open_at(idle, SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Opens a client whose connections leave from a process's own address.
    ///
    /// Peers, targets and firewalls then see one address for each host, also where
    /// the machine has several. An unspecified address leaves the choice to the system.
    ///
    /// # Panics
    /// Panics where the library cannot be initialised, which is a bug.
    #[must_use]
    pub fn open_at(idle: usize, own: SocketAddr) -> Self {
        let own = Some(own.ip()).filter(|ip| !ip.is_unspecified());
        let inner = reqwest::Client::builder()
            .local_address(own)
            .no_proxy()
            // At-most-once execution rests on this: the library must not send again by itself.
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .expect("the client needs no resource that can be missing");
        Self { inner }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// Says whether the request may have left.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        within: Duration,
    ) -> Result<Exchange, ExchangeError> {
        let request = self.inner.get(url(address, path));
        exchange(address, request, within).await
    }

    /// Sends JSON.
    ///
    /// # Errors
    /// Says whether the request may have left.
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        within: Duration,
    ) -> Result<Exchange, ExchangeError> {
        let request = self.inner.post(url(address, path)).json(body);
        exchange(address, request, within).await
    }

    /// Sends MessagePack and decodes the answer.
    ///
    /// # Errors
    /// Says whether the request may have left.
    pub async fn post_packed<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        within: Duration,
    ) -> Result<T, ExchangeError> {
        let request = self.inner.post(url(address, path)).body(egret_wire::encode(body));
        let answer = exchange(address, request, within).await?;
        if answer.status != 200 {
            return Err(ExchangeError::BadAnswer { address, reason: format!("status {}", answer.status) });
        }
        egret_wire::decode(&answer.body)
            .map_err(|error| ExchangeError::BadAnswer { address, reason: error.to_string() })
    }
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

async fn exchange(
    address: SocketAddr,
    request: reqwest::RequestBuilder,
    within: Duration,
) -> Result<Exchange, ExchangeError> {
    let answer = async {
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        Ok::<_, reqwest::Error>(Exchange { status, body })
    };
    match tokio::time::timeout(within, answer).await {
        Ok(Ok(exchange)) => Ok(exchange),
        Ok(Err(error)) if error.is_connect() => Err(ExchangeError::NotSent { address }),
        Ok(Err(_)) => Err(ExchangeError::Broken { address }),
        Err(_) => Err(ExchangeError::Timeout { address }),
    }
}
