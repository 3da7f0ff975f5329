//! What agents tell each other.

use std::net::SocketAddr;

use egret_conf::{ContentHash, Head, HostsUpdate};
use egret_model::{Version, record};

record! {
    /// Asks an agent for news, and tells it what the asker has.
    #[derive(Eq)]
    pub struct PeerQuery {
        /// Where the asker listens, so that the other side can ask back.
        pub agent: SocketAddr,
        /// The asker's configuration version.
        pub version: Version,
        /// The hash over its services.
        pub root: ContentHash,
        /// The asker's host list revision.
        pub hosts_revision: u64,
        /// Milliseconds since the asker, or someone it heard from, reached the platform.
        pub heard_ms_ago: u64,
    }
}

record! {
    /// An agent's news for the asker.
    pub struct PeerState {
        /// The newest head, where it goes before the asker's.
        pub head: Option<Head>,
        /// What is new in the host list, where it is newer than the asker's.
        pub hosts: Option<HostsUpdate>,
        /// Milliseconds since the agent, or someone it heard from, reached the platform.
        pub heard_ms_ago: u64,
    }
}

record! {
    /// Asks an agent for a published value.
    #[derive(Eq)]
    pub struct ValueQuery {
        /// The platform's key of the value.
        pub key: String,
    }
}

record! {
    /// A published value, where the agent has it.
    #[derive(Eq)]
    pub struct ValueReply {
        /// The value's text.
        pub value: Option<String>,
    }
}
