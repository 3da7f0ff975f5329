//! What an agent tells the entry and the relay of its host.

use egret_conf::{ContentHash, HostList, Service};
use egret_model::{Version, record};

record! {
    /// Asks the agent for a state other than the one that the asker has.
    #[derive(Default, Eq)]
    pub struct StateQuery {
        /// The asker's configuration version.
        pub version: Version,
        /// The hash over its services.
        pub root: ContentHash,
        /// The asker's host list revision.
        pub hosts_revision: u64,
        /// Milliseconds to wait for news.
        pub wait_ms: u32,
    }
}

record! {
    /// One immutable state of configuration and hosts.
    pub struct LocalState {
        /// The configuration's version.
        pub version: Version,
        /// The hash over all services.
        pub root: ContentHash,
        /// The services, sorted by name.
        pub services: Vec<Service>,
        /// The hosts.
        pub hosts: HostList,
    }
}
