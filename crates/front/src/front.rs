//! Starts and stops the host daemon.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derive_more::{Display, Error};
use egret_events::{Code, log_event};
use egret_members::{Member, Membership};
use egret_node::{HttpClient, HttpLimits, HttpServer};
use tokio::{runtime::Handle, task::JoinHandle};

use crate::{
    Mechanism, Options, Store, caller_connection,
    clock::now,
    connection_limit::ConnectionLimit,
    core::Core,
    fleet_view::FleetView,
    gather_server,
    gossip::{Gossip, GossipSite},
    listener::Listener,
    metrics_site::MetricsSite,
    ready::ReadySite,
    store_reader,
};

/// How long the daemon still accepts connections after the signal to stop: in this time two
/// readiness checks of the load balancer fail, and connections that were being opened arrive.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2800);
/// Callers' connections may take up the host's descriptors divided by this. The rest is for other hosts, targets,
/// files and the internal servers.
const CALLERS_FDS_DIVISOR: usize = 2;
/// Connections on which other hosts send gathers may take up the host's descriptors divided by this.
const HOSTS_FDS_DIVISOR: usize = 4;
/// Connections of other hosts' gossip, of readiness checks and of scrapes may each take up the host's
/// descriptors divided by this.
const INTERNAL_FDS_DIVISOR: usize = 16;
/// The receive buffer of a caller's connection, in bytes. It bounds what many callers send before it is read.
pub(crate) const CALLER_RECEIVE_BUFFER: usize = 8 << 10;
/// The receive buffer of a connection to or from a host or a target, in bytes; most messages fit.
pub(crate) const PEER_RECEIVE_BUFFER: usize = 16 << 10;
/// The limit of the bodies of readiness checks and of scrapes, in bytes; they need none.
const CHECK_BODY_BYTES_MAX: usize = 4096;
/// The part of the grace period that is kept for the exit of the process itself, on a busy host.
const EXIT_RESERVE: Duration = Duration::from_millis(800);
/// The part of the time before that in which requests still in flight are answered with a failure.
const LAST_ANSWERS_RESERVE: Duration = Duration::from_millis(100);

/// The error of a host daemon that cannot listen on one of its addresses.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address} ({source}): check that the address is this host's and free")]
pub struct FrontError {
    address: SocketAddr,
    source: io::Error,
}

/// A running host daemon.
#[derive(Debug)]
pub struct Front {
    core: Arc<Core>,
    callers: Listener,
    gathers: Listener,
    _ready: HttpServer,
    _control: HttpServer,
    _metrics: HttpServer,
    gossip: Gossip,
    tasks: Vec<JoinHandle<()>>,
}

impl Front {
    /// Starts the daemon.
    ///
    /// Gossip, the store and the internal servers run on the current runtime; connections of callers
    /// and of other hosts' gathers run on `traffic`. `dropped_lines` returns the number of log lines
    /// that were dropped so far.
    ///
    /// # Errors
    /// Fails if the daemon cannot listen on one of its addresses.
    pub async fn spawn(
        options: Options,
        store: impl Store,
        traffic: &Handle,
        dropped_lines: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<Self, FrontError> {
        let core = Arc::new(Core::new(options));
        let options = &core.options;
        let own = Member {
            millicores: options.millicores,
            ..Member::new(options.control, Arc::clone(&options.data_centre), unix_ms())
        };
        let fleet = FleetView::new(Arc::clone(&core), Membership::new(now(), own));
        let gossip = Gossip::new(
            Arc::clone(&core),
            fleet,
            HttpClient::open_from(1, options.control).reserving_memory(core.memory.clone()),
            options.seeds.clone(),
        );
        let control = Handle::current();
        let limits = HttpLimits {
            body_bytes: core.memory.message_bytes_max(),
            connections: options.fds_max / INTERNAL_FDS_DIVISOR,
            receive_buffer: Some(PEER_RECEIVE_BUFFER),
            ..HttpLimits::internal()
        };
        let site = GossipSite(gossip.clone());
        let control_server = bind(&control, options.control, limits, site).await?;
        let limits = HttpLimits { body_bytes: CHECK_BODY_BYTES_MAX, ..limits };
        let ready = bind(&control, options.ready, limits, ReadySite(Arc::clone(&core))).await?;
        let site = MetricsSite { core: Arc::clone(&core), dropped_lines: Box::new(dropped_lines) };
        let metrics = bind(&control, options.metrics, limits, site).await?;
        let address = options.callers;
        let (callers, gathers) = {
            let _guard = traffic.enter();
            let shared = Arc::clone(&core);
            let limit = ConnectionLimit::evicting(options.fds_max / CALLERS_FDS_DIVISOR, Arc::clone(&core));
            let callers = Listener::bind(address, CALLER_RECEIVE_BUFFER, limit, move |stream, closing| {
                caller_connection::serve(Arc::clone(&shared), stream, closing)
            });
            let shared = Arc::clone(&core);
            // Other hosts are trusted: their connections are bounded, but none is closed for another.
            let limit = ConnectionLimit::new(options.fds_max / HOSTS_FDS_DIVISOR);
            let gathers =
                Listener::bind(options.gathers, PEER_RECEIVE_BUFFER, limit, move |stream, closing| {
                    gather_server::serve(Arc::clone(&shared), stream, closing)
                });
            let error = |address| move |source| FrontError { address, source };
            (callers.map_err(error(address))?, gathers.map_err(error(options.gathers))?)
        };
        let mut tasks = vec![
            tokio::spawn(gossip.clone().run()),
            tokio::spawn(gossip.clone().forward_leaving_targets()),
            tokio::spawn(gossip.clone().follow_reach()),
            tokio::spawn(store_reader::follow(Arc::new(store), gossip.clone())),
        ];
        tasks.push(traffic.spawn(Arc::clone(&core).watch_reach()));
        let push = core.is_enabled(Mechanism::GossipPush).then(|| tokio::spawn(gossip.clone().push()));
        tasks.extend(push);
        log_event(Code::Started, "", &format!("{} listens on {address}", options.host));
        Ok(Self {
            core,
            callers,
            gathers,
            _ready: ready,
            _control: control_server,
            _metrics: metrics,
            gossip,
            tasks,
        })
    }

    /// Replaces the seeds that gossip contacts.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.gossip.set_seeds(seeds);
    }

    /// Stops the daemon: it reports not ready at once, later accepts no new connections, and then
    /// drains the requests in flight for the rest of the grace period.
    pub async fn stop(self) {
        let started_at = tokio::time::Instant::now();
        log_event(Code::Stopping, "", "");
        self.core.stop();
        self.gossip.leave().await;
        tokio::time::sleep_until(started_at + ACCEPT_AFTER_STOP).await;
        let until = started_at + self.core.options.grace.saturating_sub(EXIT_RESERVE);
        let end_grace = async {
            tokio::time::sleep_until(until - LAST_ANSWERS_RESERVE).await;
            self.core.end_grace();
        };
        let drain = async { tokio::join!(self.callers.drain(until), self.gathers.drain(until)) };
        tokio::pin!(drain);
        tokio::select! {
            _ = &mut drain => {}
            () = end_grace => {
                drain.await;
            }
        }
        for task in &self.tasks {
            task.abort();
        }
        log_event(Code::Stopped, "", "");
    }
}

async fn bind(
    runtime: &Handle,
    address: SocketAddr,
    limits: HttpLimits,
    site: impl egret_node::HttpHandler,
) -> Result<HttpServer, FrontError> {
    HttpServer::bind(runtime, address, limits, site)
        .await
        .map_err(|error| FrontError { address, source: io::Error::other(error) })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
