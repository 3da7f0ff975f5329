//! What a relay must know before it starts.

use std::net::SocketAddr;

use egret_model::HostName;
use egret_policy::Baseline;

/// The options of one relay.
#[derive(Clone, Debug)]
pub struct Options {
    /// The relay's host.
    pub host: HostName,
    /// Where the relay listens, as entries and other relays reach it.
    pub address: SocketAddr,
    /// A simple design to compare with; benches only.
    pub baseline: Baseline,
}

impl Options {
    /// Creates options for one host, with defaults for the rest.
    #[must_use]
    pub fn new(host: HostName, address: SocketAddr) -> Self {
        Self { host, address, baseline: Baseline::None }
    }
}
