//! The HTTP client that every daemon uses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use reqwest::{
    Method,
    header::{CONTENT_TYPE, HeaderMap},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    HttpRequest, MemoryReserve, Transport,
    response_body::{BodyFull, ResponseBody},
};

/// Why a request got no usable response, and whether it may have been sent.
///
/// Only [`NotSent`](Self::NotSent) allows a non-idempotent request to be sent again.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened: not one byte of the request was sent.
    #[display("no connection to {address} ({reason}): check that it runs and can be reached")]
    NotSent {
        /// The peer.
        address: SocketAddr,
        /// What the system or the library reported.
        reason: String,
    },
    /// The timeout expired; the request may have been sent.
    #[display("no answer from {address} in time: check its load")]
    Timeout {
        /// The peer.
        address: SocketAddr,
    },
    /// The connection broke; the request may have been sent.
    #[display("the connection to {address} broke ({reason}): check that it runs")]
    Broken {
        /// The peer.
        address: SocketAddr,
        /// What the system or the library reported.
        reason: String,
    },
    /// There is no memory for the response now; the peer may be well.
    #[display("no memory for the answer of {address} now: raise the memory limit if this persists")]
    NoMemory {
        /// The peer.
        address: SocketAddr,
    },
    /// The response is too large, has an unexpected status or cannot be decoded.
    #[display("the answer of {address} is not usable ({reason}): check its version")]
    BadAnswer {
        /// The peer.
        address: SocketAddr,
        /// What is wrong with the response.
        reason: String,
    },
}

impl ExchangeError {
    /// Returns whether it is certain that the peer received nothing.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A client with pooled HTTP/1.1 connections that never retries a request by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    connector: Connector,
    response_bytes_max: usize,
    /// Where the memory of responses is reserved, if it is bounded.
    memory: Option<Arc<dyn MemoryReserve>>,
}

#[derive(Clone, Debug)]
enum Connector {
    Network(reqwest::Client),
    Custom(Arc<dyn Transport>),
}

/// A request that is about to be sent.
struct OutgoingRequest<'a> {
    method: Method,
    path: &'a str,
    media_type: &'static str,
    body: Vec<u8>,
}

const MEDIA_TYPE_JSON: &str = "application/json";
const MEDIA_TYPE_MSGPACK: &str = "application/msgpack";
/// A connection that went silent while it was idle would delay the exchange that reuses it, and make its peer
/// look dead.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// After how long without data the peer is probed.
const KEEPALIVE_TIME: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long sent bytes and probes may stay unacknowledged. It also decides when probes give up, whatever their
/// number; the library's default is 30 s.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum size of a response body; a whole configuration and all replicas must fit.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

impl HttpClient {
    /// Creates a client that keeps at most `idle` unused connections per peer.
    ///
    /// # Panics
    /// Panics if the HTTP library cannot be initialised, which is a bug.
    #[must_use]
    pub fn open(idle: usize) -> Self {
        Self::open_from(idle, SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Creates a client whose connections use the IP address of `own` as their source.
    ///
    /// Peers, targets and firewalls then see one address per host, also if the
    /// machine has several. With an unspecified address the system chooses.
    ///
    /// # Panics
    /// Panics if the HTTP library cannot be initialised, which is a bug.
    #[must_use]
    pub fn open_from(idle: usize, own: SocketAddr) -> Self {
        let own = Some(own.ip()).filter(|ip| !ip.is_unspecified());
        let inner = reqwest::Client::builder()
            .local_address(own)
            .no_proxy()
            // At-most-once execution depends on this: the library must not retry by itself.
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .tcp_keepalive(KEEPALIVE_TIME)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_user_timeout(UNACKNOWLEDGED_MAX)
            .build()
            .expect("the HTTP client can be built without external resources");
        Self::with_connector(Connector::Network(inner))
    }

    /// Creates a client that sends its requests through `transport`, for scenarios without a network.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self::with_connector(Connector::Custom(transport))
    }

    fn with_connector(connector: Connector) -> Self {
        Self { connector, response_bytes_max: RESPONSE_BYTES_MAX, memory: None }
    }

    /// Reserves the memory of responses, with a decoded copy, while they are read and until they are dropped.
    #[must_use]
    pub fn reserving_memory(self, memory: impl MemoryReserve) -> Self {
        Self { memory: Some(Arc::new(memory)), ..self }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// Returns the failure, which tells whether the request may have been sent.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<HttpResponse, ExchangeError> {
        let message =
            OutgoingRequest { method: Method::GET, path, media_type: MEDIA_TYPE_JSON, body: Vec::new() };
        self.exchange(address, message, timeout).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    /// Returns the failure, which tells whether the request may have been sent.
    ///
    /// # Panics
    /// Panics if the body cannot be written as JSON, which is a bug.
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<HttpResponse, ExchangeError> {
        let body = serde_json::to_vec(body).expect("messages can be written as JSON");
        let message = OutgoingRequest { method: Method::POST, path, media_type: MEDIA_TYPE_JSON, body };
        self.exchange(address, message, timeout).await
    }

    /// Sends MessagePack with field names, so that releases may add fields, and decodes the response.
    ///
    /// # Errors
    /// Returns the failure, which tells whether the request may have been sent.
    pub async fn post_msgpack<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<T, ExchangeError> {
        self.post_encoded(address, path, egret_wire::encode(body), timeout).await
    }

    /// Sends MessagePack without field names and decodes the response.
    ///
    /// # Errors
    /// Returns the failure, which tells whether the request may have been sent.
    pub async fn post_msgpack_compact<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<T, ExchangeError> {
        self.post_encoded(address, path, egret_wire::encode_compact(body), timeout).await
    }

    async fn post_encoded<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<T, ExchangeError> {
        let message = OutgoingRequest { method: Method::POST, path, media_type: MEDIA_TYPE_MSGPACK, body };
        let answer = self.exchange(address, message, timeout).await?;
        if answer.status != 200 {
            return Err(ExchangeError::BadAnswer { address, reason: format!("status {}", answer.status) });
        }
        egret_wire::decode(&answer.body)
            .map_err(|error| ExchangeError::BadAnswer { address, reason: error.to_string() })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        message: OutgoingRequest<'_>,
        timeout: Duration,
    ) -> Result<HttpResponse, ExchangeError> {
        let answer = async {
            match &self.connector {
                Connector::Network(client) => {
                    let body = ResponseBody::new(self.response_bytes_max, self.memory.clone());
                    send(client, address, message, body).await
                }
                Connector::Custom(transport) => {
                    let request = HttpRequest::new(message.method.as_str(), message.path, message.body);
                    transport.send(address, request).await
                }
            }
        };
        let answer = tokio::time::timeout(timeout, answer).await;
        answer.unwrap_or(Err(ExchangeError::Timeout { address }))
    }
}

async fn send(
    client: &reqwest::Client,
    address: SocketAddr,
    message: OutgoingRequest<'_>,
    mut body: ResponseBody,
) -> Result<HttpResponse, ExchangeError> {
    let OutgoingRequest { method, path, media_type, body: sent } = message;
    let url = format!("http://{address}{path}");
    let request = client.request(method, url).header(CONTENT_TYPE, media_type).body(sent);
    let answer = async {
        let mut response = request.send().await?;
        let status = response.status().as_u16();
        let headers = std::mem::take(response.headers_mut());
        while let Some(data) = response.chunk().await? {
            if let Err(full) = body.add(&data) {
                return Ok(Err(full));
            }
        }
        Ok::<_, reqwest::Error>(Ok(HttpResponse { status, headers, body: body.freeze() }))
    };
    match answer.await {
        Ok(Ok(exchange)) => Ok(exchange),
        Ok(Err(BodyFull::TooLarge)) => {
            Err(ExchangeError::BadAnswer { address, reason: "it is over the size limit".to_owned() })
        }
        Ok(Err(BodyFull::NoMemory)) => Err(ExchangeError::NoMemory { address }),
        Err(error) if error.is_connect() => {
            Err(ExchangeError::NotSent { address, reason: root_cause(&error) })
        }
        Err(error) => Err(ExchangeError::Broken { address, reason: root_cause(&error) }),
    }
}

/// Returns the innermost cause of an error, since the library's outer messages are the same for all causes.
fn root_cause(error: &reqwest::Error) -> String {
    let causes = std::iter::successors(Some(error as &dyn std::error::Error), |error| error.source());
    causes.last().map_or_else(String::new, ToString::to_string)
}
