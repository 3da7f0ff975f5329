//! The messages by which agents exchange configuration and hosts.

use std::net::SocketAddr;

use egret_conf::{ContentHash, Head, HostsUpdate};
use egret_model::{Version, record};

record! {
    /// Asks an agent for newer state, and states the versions that the sender has.
    #[derive(Eq)]
    pub struct PeerQuery {
        /// The address at which the sender listens, so that a receiver that is behind can ask it in turn.
        pub agent: SocketAddr,
        /// The sender's configuration version.
        pub version: Version,
        /// The hash over the sender's services, which tells apart configurations of the same version.
        pub root: ContentHash,
        /// The revision of the sender's host list.
        pub hosts_revision: u64,
        /// Milliseconds since the sender, or an agent that it got state from, reached the platform.
        pub heard_ms_ago: u64,
    }
}

record! {
    /// What an agent has that is newer than the state in the [`PeerQuery`].
    pub struct PeerState {
        /// The agent's head, if it supersedes that of the sender.
        pub head: Option<Head>,
        /// The update to the agent's host list, if that is newer than the sender's.
        pub hosts: Option<HostsUpdate>,
        /// Milliseconds since the agent, or an agent that it got state from, reached the platform.
        pub heard_ms_ago: u64,
    }
}

record! {
    /// Asks an agent for a published value, which spares the platform the request.
    #[derive(Eq)]
    pub struct ValueQuery {
        /// The key of the value at the platform.
        pub key: String,
    }
}

record! {
    /// The reply to a [`ValueQuery`].
    #[derive(Eq)]
    pub struct ValueReply {
        /// The text of the value, if the agent has it.
        pub value: Option<String>,
    }
}
