//! The messages between an agent and the entry and relay of its host.

use egret_conf::{ContentHash, HostList, Service};
use egret_model::{Version, record};

record! {
    /// Asks the agent for its state as soon as it differs from that of the sender.
    #[derive(Default, Eq)]
    pub struct StateQuery {
        /// The sender's configuration version.
        pub version: Version,
        /// The hash over the sender's services.
        pub root: ContentHash,
        /// The revision of the sender's host list.
        pub hosts_revision: u64,
        /// Milliseconds that the agent may hold the request until its state differs.
        pub wait_ms: u32,
    }
}

record! {
    /// The agent's configuration and hosts, sent as a whole.
    pub struct LocalState {
        /// The version of the configuration.
        pub version: Version,
        /// The hash over all services.
        pub root: ContentHash,
        /// The services, sorted by name.
        pub services: Vec<Service>,
        /// The list of hosts.
        pub hosts: HostList,
    }
}
