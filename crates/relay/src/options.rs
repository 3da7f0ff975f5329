//! What a relay must know before it starts.

use std::net::SocketAddr;

use egret_model::HostName;
use egret_node::HttpClient;
use egret_policy::Baseline;

const IDLE_CONNECTIONS: usize = 64;

/// The options of one relay.
#[derive(Clone, Debug)]
pub struct Options {
    /// The relay's host.
    pub host: HostName,
    /// The client for targets and other relays.
    pub client: HttpClient,
    /// A simple design to compare with; benches only.
    pub baseline: Baseline,
}

impl Options {
    /// Creates options for a relay whose connections leave from `address`.
    #[must_use]
    pub fn new(host: HostName, address: SocketAddr) -> Self {
        let client = HttpClient::open_from(IDLE_CONNECTIONS, address);
        Self { host, client, baseline: Baseline::None }
    }
}
