//! The HTTP server of every daemon.

use std::{
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

use crate::{BodyError, HttpRequest, ListenError, Reply};

const BACKLOG_CONNECTIONS: i32 = 1024;
const STOP_POLL: Duration = Duration::from_millis(10);

/// Limits on what a server takes in.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Bytes of all headers.
    pub header_bytes: usize,
    /// Time for a whole body to arrive.
    pub body_timeout: Duration,
    /// Time for the headers to arrive.
    pub header_timeout: Duration,
    /// Connections at a time.
    pub connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            body_timeout: Duration::from_secs(5),
            header_timeout: Duration::from_secs(5),
            connections: 4096,
        }
    }
}

impl HttpLimits {
    /// Limits for messages between processes of the system, which carry whole answers.
    #[must_use]
    pub fn internal() -> Self {
        Self { body_bytes: 64 << 20, ..Self::default() }
    }
}

/// Answers the requests of one server.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers a request.
    fn respond(&self, call: HttpRequest) -> impl Future<Output = Reply> + Send;

    /// Answers a request whose body could not be taken.
    fn respond_to_bad_body(&self, error: BodyError) -> Reply {
        let status = match error {
            BodyError::TooLarge => 413,
            BodyError::TooSlow => 408,
            BodyError::Broken => 400,
        };
        Reply::text(status, format!("{error}\n"))
    }
}

struct HandlerAdapter<S> {
    site: S,
    limits: HttpLimits,
    state: Arc<ServerState>,
}

#[derive(Debug, Default)]
struct ServerState {
    closing: AtomicBool,
    in_flight: AtomicUsize,
}

struct InFlight<'a>(&'a ServerState);

impl<'a> InFlight<'a> {
    fn begin(state: &'a ServerState) -> Self {
        state.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl<S: HttpHandler> Handler for HandlerAdapter<S> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let _in_flight = InFlight::begin(&self.state);
        let reply = match take_body(req, &self.limits).await {
            Ok(body) => {
                let method = req.method().as_str().to_owned();
                let path = req.uri().path().to_owned();
                let query = req.uri().query().map(ToOwned::to_owned);
                self.site.respond(HttpRequest { method, path, query, body }).await
            }
            Err(error) => self.site.respond_to_bad_body(error),
        };
        let closing = self.state.closing.load(Ordering::SeqCst);
        write_reply(res, reply, closing);
    }
}

async fn take_body(req: &mut Request, limits: &HttpLimits) -> Result<bytes::Bytes, BodyError> {
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
        // A caller that learns of the end with a reply never sends into a closed connection.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // An error status without this would get a page of the library's own.
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
    /// Listens on `address` and serves the site on the traffic threads.
    ///
    /// # Errors
    /// Fails where the address cannot be listened on.
    pub async fn bind(
        traffic: &Handle,
        address: SocketAddr,
        limits: HttpLimits,
        site: impl HttpHandler,
    ) -> Result<Self, ListenError> {
        let error = |source| ListenError { address, source };
        let listener = listen(address).map_err(error)?;
        let _guard = traffic.enter();
        let listener = tokio::net::TcpListener::from_std(listener).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(error)?;
        let state = Arc::new(ServerState::default());
        let handler = HandlerAdapter { site, limits, state: Arc::clone(&state) };
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

    /// Lets every further reply close its connection, so that clients move away.
    pub fn close_after_replies(&self) {
        self.state.closing.store(true, Ordering::SeqCst);
    }

    /// Waits until no request is in flight, at most for `grace`, then stops.
    pub async fn stop(self, grace: Duration) {
        self.close_after_replies();
        let deadline = tokio::time::Instant::now() + grace;
        while self.state.in_flight.load(Ordering::SeqCst) > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(STOP_POLL).await;
        }
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        self.handle.stop_graceful(left.max(STOP_POLL));
        let _ = timeout(left + STOP_POLL * 10, self.task).await;
    }
}

fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit this; without it a reply's last segment waits for an acknowledgement.
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    Ok(socket.into())
}
