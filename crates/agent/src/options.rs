//! What an agent must know before it starts.

use std::{net::SocketAddr, time::Duration};

use egret_model::{DataCentre, HostName};
use egret_node::HttpClient;

/// Unused connections that an agent keeps to one peer.
pub const IDLE_CONNECTIONS: usize = 2;

/// The options of one agent.
#[derive(Clone, Debug)]
pub struct Options {
    /// The agent's host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where the agent listens, as its peers reach it.
    pub address: SocketAddr,
    /// The client for peers and the platform.
    pub client: HttpClient,
    /// The platform's configuration service.
    pub platform: SocketAddr,
    /// Agents to ask before any host list is known.
    pub seed_peers: Vec<SocketAddr>,
    /// The time between two questions to peers.
    pub gossip_interval: Duration,
}

impl Options {
    /// Creates options for one host without peers, with defaults for the rest.
    ///
    /// # Errors
    /// Returns `None` where a name or an address is not valid.
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
