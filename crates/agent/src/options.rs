//! The options of an agent.

use std::{net::SocketAddr, time::Duration};

use egret_model::{DataCentre, HostName};
use egret_node::HttpClient;

/// The maximum number of idle connections that an agent keeps to one peer.
pub const IDLE_CONNECTIONS: usize = 2;

/// The options of one agent.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of the agent's host.
    pub host: HostName,
    /// The data centre of that host.
    pub data_centre: DataCentre,
    /// The address that the agent listens on, as its peers reach it.
    pub address: SocketAddr,
    /// The HTTP client for peers and the platform.
    pub client: HttpClient,
    /// The address of the platform's configuration service.
    pub platform: SocketAddr,
    /// The addresses of agents that are always peers, also before a host list is known.
    pub seed_peers: Vec<SocketAddr>,
    /// The average time between two exchanges with peers.
    pub gossip_interval: Duration,
}

impl Options {
    /// Creates options for a host without seed peers, with defaults for the rest.
    ///
    /// # Errors
    /// Returns `None` if a name or an address is not valid.
    #[must_use]
    pub fn local(host: &str, address: &str, platform: &str) -> Option<Self> {
        let address = address.parse().ok()?;
        Some(Self {
            host: HostName::new(host).ok()?,
            data_centre: DataCentre::new("local").ok()?,
            address,
            client: HttpClient::open_from(IDLE_CONNECTIONS, address),
            platform: platform.parse().ok()?,
            seed_peers: Vec::new(),
            gossip_interval: Duration::from_millis(1000),
        })
    }
}
