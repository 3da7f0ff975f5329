//! The options of a host daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use egret_policy::{RetryLimits, WarmUpLimits};
use egret_routes::RegionMap;

use crate::{DisabledMechanisms, HeaderNames};

/// The options with which a host daemon starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// The host's name, for logs.
    pub host: Arc<str>,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// The regions of data centres, for requests that must stay in some regions.
    pub regions: RegionMap,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address of the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// The address on which other hosts send gossip; other hosts know this host by it.
    pub control: SocketAddr,
    /// The address on which other hosts send the gathers that this one runs for them; the port is
    /// the same on all hosts.
    pub gathers: SocketAddr,
    /// The address from which metrics are scraped.
    pub metrics: SocketAddr,
    /// The processor time that this host may use, in thousandths of a core.
    pub millicores: u32,
    /// The rate of this host's network link, in bytes per second.
    pub link_bytes_per_s: f64,
    /// The memory that this host may use, in bytes.
    pub memory_bytes: usize,
    /// The number of file descriptors that this host may have open.
    pub fds_max: usize,
    /// The percentage of the callers' connections, and of the bytes of their large requests, above which one address
    /// gives way first when they are short.
    pub caller_address_percent: usize,
    /// Control addresses of the hosts to contact first; some may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Limits the extra attempts that all hosts together may send beyond the first attempt at each
    /// request.
    pub retry_limits: RetryLimits,
    /// Limits the requests that all hosts together may send to a replica that warms up.
    pub warm_up_limits: WarmUpLimits,
    /// The time from the signal to stop until the process must have exited.
    pub grace: Duration,
    /// How long after a change a request may still be handled by the older configuration.
    pub config_lag: Duration,
    /// Mechanisms that are disabled, to measure their effect.
    pub disabled_mechanisms: DisabledMechanisms,
    /// The names of the HTTP headers that callers and targets use.
    pub headers: HeaderNames,
}
