//! What a host daemon is told at its start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use egret_policy::RetryLimits;

use crate::{DisabledMechanisms, HeaderNames};

/// What a host daemon is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The host's name, for logs.
    pub host: Arc<str>,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this host takes work.
    pub ready: SocketAddr,
    /// Where other hosts send their messages.
    pub control: SocketAddr,
    /// Where other hosts send the gathers that this one runs for them; the port is the
    /// same on all hosts.
    pub gathers: SocketAddr,
    /// Where counters are scraped.
    pub metrics: SocketAddr,
    /// Processor time that this host may use, in thousandths of a core.
    pub millicores: u32,
    /// Bytes a second of this host's link.
    pub link_bytes_per_s: f64,
    /// Memory that this host may use.
    pub memory_bytes: usize,
    /// Control addresses of hosts to ask first; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// What all hosts together may send beyond the first copy of each request.
    pub retry_limits: RetryLimits,
    /// The time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// How long a request may still be handled by an older configuration.
    pub config_lag: Duration,
    /// Mechanisms that are switched off, to measure what they are worth.
    pub disabled_mechanisms: DisabledMechanisms,
    /// The names of headers.
    pub headers: HeaderNames,
}
