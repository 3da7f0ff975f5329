//! The HTTP client of every daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use reqwest::{
    Method,
    header::{CONTENT_TYPE, HeaderMap},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{HttpRequest, Transport};

/// An exchange that failed, and whether the request may have left.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened: not one byte of the request left.
    #[display("no connection to {address} ({reason}): check that it runs and can be reached")]
    NotSent {
        /// The peer.
        address: SocketAddr,
        /// What the system or the library reported.
        reason: String,
    },
    /// The time ended; the request may have left.
    #[display("no answer from {address} in time: check its load")]
    Timeout {
        /// The peer.
        address: SocketAddr,
    },
    /// The connection broke; the request may have left.
    #[display("the connection to {address} broke ({reason}): check that it runs")]
    Broken {
        /// The peer.
        address: SocketAddr,
        /// What the system or the library reported.
        reason: String,
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
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, whole.
    pub body: Bytes,
}

/// A client with pooled HTTP/1.1 connections that never sends a request twice.
#[derive(Clone, Debug)]
pub struct HttpClient {
    transport: Connector,
    answer_bytes_max: usize,
}

#[derive(Clone, Debug)]
enum Connector {
    Network(reqwest::Client),
    Custom(Arc<dyn Transport>),
}

/// A request on its way out.
struct Message<'a> {
    method: Method,
    path: &'a str,
    media_type: &'static str,
    body: Vec<u8>,
}

const JSON: &str = "application/json";
const MSGPACK: &str = "application/msgpack";
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Bytes of an answer, at most, where nothing else is said: a whole configuration and all replicas.
const ANSWER_BYTES_MAX: usize = 8 << 20;

impl HttpClient {
    /// Opens a client that keeps at most `idle` unused connections per peer.
    ///
    /// # Panics
    /// Panics where the library cannot be initialised, which is a bug.
    #[must_use]
    pub fn open(idle: usize) -> Self {
        Self::open_from(idle, SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Opens a client whose connections leave from a process's own address.
    ///
    /// Peers, targets and firewalls then see one address for each host, also where
    /// the machine has several. An unspecified address leaves the choice to the system.
    ///
    /// # Panics
    /// Panics where the library cannot be initialised, which is a bug.
    #[must_use]
    pub fn open_from(idle: usize, own: SocketAddr) -> Self {
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
        Self { transport: Connector::Network(inner), answer_bytes_max: ANSWER_BYTES_MAX }
    }

    /// Creates a client whose requests a carrier takes, for scenarios without a network.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport: Connector::Custom(transport), answer_bytes_max: ANSWER_BYTES_MAX }
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
    ) -> Result<HttpResponse, ExchangeError> {
        let message = Message { method: Method::GET, path, media_type: JSON, body: Vec::new() };
        self.exchange(address, message, within).await
    }

    /// Sends JSON.
    ///
    /// # Errors
    /// Says whether the request may have left.
    ///
    /// # Panics
    /// Panics where a message has no JSON form, which is a bug.
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        within: Duration,
    ) -> Result<HttpResponse, ExchangeError> {
        let body = serde_json::to_vec(body).expect("messages have a JSON form");
        let message = Message { method: Method::POST, path, media_type: JSON, body };
        self.exchange(address, message, within).await
    }

    /// Sends MessagePack with field names, which versions may add to, and decodes the answer.
    ///
    /// # Errors
    /// Says whether the request may have left.
    pub async fn post_msgpack<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        within: Duration,
    ) -> Result<T, ExchangeError> {
        self.post_encoded(address, path, egret_wire::encode(body), within).await
    }

    /// Sends MessagePack without field names and decodes the answer.
    ///
    /// # Errors
    /// Says whether the request may have left.
    pub async fn post_msgpack_compact<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        within: Duration,
    ) -> Result<T, ExchangeError> {
        self.post_encoded(address, path, egret_wire::encode_compact(body), within).await
    }

    async fn post_encoded<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<T, ExchangeError> {
        let message = Message { method: Method::POST, path, media_type: MSGPACK, body };
        let answer = self.exchange(address, message, within).await?;
        if answer.status != 200 {
            return Err(ExchangeError::BadAnswer { address, reason: format!("status {}", answer.status) });
        }
        egret_wire::decode(&answer.body)
            .map_err(|error| ExchangeError::BadAnswer { address, reason: error.to_string() })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        message: Message<'_>,
        within: Duration,
    ) -> Result<HttpResponse, ExchangeError> {
        let answer = async {
            match &self.transport {
                Connector::Network(client) => send(client, address, message, self.answer_bytes_max).await,
                Connector::Custom(transport) => {
                    let call = HttpRequest::new(message.method.as_str(), message.path, message.body);
                    transport.send(address, call).await
                }
            }
        };
        let answer = tokio::time::timeout(within, answer).await;
        answer.unwrap_or(Err(ExchangeError::Timeout { address }))
    }
}

async fn send(
    client: &reqwest::Client,
    address: SocketAddr,
    message: Message<'_>,
    bytes_max: usize,
) -> Result<HttpResponse, ExchangeError> {
    let Message { method, path, media_type, body } = message;
    let url = format!("http://{address}{path}");
    let request = client.request(method, url).header(CONTENT_TYPE, media_type).body(body);
    let answer = async {
        let mut response = request.send().await?;
        let status = response.status().as_u16();
        let headers = std::mem::take(response.headers_mut());
        let mut body = BytesMut::new();
        while let Some(data) = response.chunk().await? {
            if body.len() + data.len() > bytes_max {
                return Ok(None);
            }
            body.extend_from_slice(&data);
        }
        Ok::<_, reqwest::Error>(Some(HttpResponse { status, headers, body: body.freeze() }))
    };
    match answer.await {
        Ok(Some(exchange)) => Ok(exchange),
        Ok(None) => {
            Err(ExchangeError::BadAnswer { address, reason: format!("it has over {bytes_max} bytes") })
        }
        Err(error) if error.is_connect() => {
            Err(ExchangeError::NotSent { address, reason: innermost(&error) })
        }
        Err(error) => Err(ExchangeError::Broken { address, reason: innermost(&error) }),
    }
}

/// Returns the last cause of an error: the library's outer messages do not tell one from another.
fn innermost(error: &reqwest::Error) -> String {
    let causes = std::iter::successors(Some(error as &dyn std::error::Error), |error| error.source());
    causes.last().map_or_else(String::new, ToString::to_string)
}
