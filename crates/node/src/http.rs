//! The HTTP server that every daemon uses.

use std::{
    any::Any,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor,
    fuse::FuseConfig,
    http::{HeaderValue, ParseError, StatusCode, header},
    server::ServerHandle,
};
use tokio::{runtime::Handle, task::JoinHandle, time::timeout};

use crate::{BodyError, HttpRequest, ListenError, Reply, limit_receive_buffer};

const BACKLOG_CONNECTIONS: i32 = 1024;
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Limits on the requests and connections that a server accepts.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of all headers of a request, in bytes; never below 8192 in effect.
    pub header_bytes: usize,
    /// The time in which the whole body must arrive.
    pub body_timeout: Duration,
    /// The time in which the headers must arrive.
    pub header_timeout: Duration,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The receive buffer of each connection, in bytes; the system's default if `None`.
    pub receive_buffer: Option<usize>,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            body_timeout: Duration::from_secs(5),
            header_timeout: Duration::from_secs(5),
            connections: 4096,
            receive_buffer: None,
        }
    }
}

impl HttpLimits {
    /// Returns limits for messages between processes of the system, which hold whole answers.
    #[must_use]
    pub fn internal() -> Self {
        Self { body_bytes: 64 << 20, ..Self::default() }
    }
}

/// Handles the requests of one server.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers a request.
    fn respond(&self, request: HttpRequest) -> impl Future<Output = Reply> + Send;

    /// Reserves memory for a body of at most `bytes_max` bytes before it is read; returns `None` if there is
    /// none. The reservation is dropped once the request is answered.
    fn reserve(&self, bytes_max: usize) -> Option<Box<dyn Any + Send>> {
        let _ = bytes_max;
        Some(Box::new(()))
    }

    /// Answers a request whose body could not be read.
    fn respond_to_bad_body(&self, error: BodyError) -> Reply {
        let status = match error {
            BodyError::TooLarge => 413,
            BodyError::TooSlow => 408,
            BodyError::NoMemory => 503,
            BodyError::Broken => 400,
        };
        Reply::text(status, format!("{error}\n"))
    }
}

/// Adapts a [`HttpHandler`] to the handler trait of the server library.
struct HandlerAdapter<S> {
    inner: S,
    limits: HttpLimits,
    state: Arc<ServerState>,
}

#[derive(Debug, Default)]
struct ServerState {
    closing: AtomicBool,
    in_flight: AtomicUsize,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard<'a>(&'a ServerState);

impl<'a> InFlightGuard<'a> {
    fn begin(state: &'a ServerState) -> Self {
        state.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl<S: HttpHandler> Handler for HandlerAdapter<S> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let _guard = InFlightGuard::begin(&self.state);
        let announced =
            req.headers().get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        let is_chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
        let unannounced = if is_chunked { self.limits.body_bytes } else { 0 };
        let bytes_max = announced.unwrap_or(unannounced).min(self.limits.body_bytes);
        let reserved = self.inner.reserve(bytes_max);
        let body = match &reserved {
            Some(_) => read_body(req, &self.limits).await,
            None => Err(BodyError::NoMemory),
        };
        let reply = match body {
            Ok(body) => {
                let method = req.method().as_str().to_owned();
                let path = req.uri().path().to_owned();
                let query = req.uri().query().map(ToOwned::to_owned);
                self.inner.respond(HttpRequest { method, path, query, body }).await
            }
            Err(error) => self.inner.respond_to_bad_body(error),
        };
        let closing = self.state.closing.load(Ordering::SeqCst);
        write_reply(res, reply, closing);
    }
}

async fn read_body(req: &mut Request, limits: &HttpLimits) -> Result<bytes::Bytes, BodyError> {
    match timeout(limits.body_timeout, req.payload_with_max_size(limits.body_bytes)).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::TooSlow),
    }
}

fn write_reply(res: &mut Response, reply: Reply, closing: bool) {
    res.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    if let Some(secs) = reply.retry_after_secs {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
    if closing {
        // Announced with a reply, so that no client sends a request into a connection that closes.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // For an error status without a body the library would send an error page of its own.
    res.body(reply.body);
}

/// A running server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    state: Arc<ServerState>,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and runs the handler on the traffic threads.
    ///
    /// # Errors
    /// Fails if it cannot listen on the address.
    pub async fn bind(
        traffic: &Handle,
        address: SocketAddr,
        limits: HttpLimits,
        inner: impl HttpHandler,
    ) -> Result<Self, ListenError> {
        let error = |source| ListenError { address, source };
        let listener = listen(address, limits.receive_buffer).map_err(error)?;
        let _guard = traffic.enter();
        let listener = tokio::net::TcpListener::from_std(listener).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(error)?;
        let state = Arc::new(ServerState::default());
        let handler = HandlerAdapter { inner, limits, state: Arc::clone(&state) };
        let router = Router::with_path("{**path}").goal(handler);
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(limits.header_timeout)
            .with_request_body_timeout(limits.body_timeout + limits.header_timeout);
        let mut server = Server::new(acceptor).fuse_config(fuse).max_connections(limits.connections);
        server.http1_mut().max_buf_size(limits.header_bytes.max(8192));
        let handle = server.handle();
        let task = traffic.spawn(async move { server.serve(router).await });
        Ok(Self { address, state, handle, task })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes every further reply close its connection, so that clients move to another process.
    pub fn close_after_replies(&self) {
        self.state.closing.store(true, Ordering::SeqCst);
    }

    /// Stops the server once no request is in flight, and after `grace` at the latest.
    pub async fn stop(self, grace: Duration) {
        self.close_after_replies();
        let deadline = tokio::time::Instant::now() + grace;
        while self.state.in_flight.load(Ordering::SeqCst) > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        self.handle.stop_graceful(left.max(STOP_POLL_INTERVAL));
        let _ = timeout(left + STOP_POLL_INTERVAL * 10, self.task).await;
    }
}

fn listen(address: SocketAddr, receive_buffer: Option<usize>) -> std::io::Result<std::net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit this. Nagle's algorithm would hold back the last segment of a
    // reply until an acknowledgement arrives.
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    if let Some(bytes) = receive_buffer {
        limit_receive_buffer(&socket, address, bytes);
    }
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    Ok(socket.into())
}
