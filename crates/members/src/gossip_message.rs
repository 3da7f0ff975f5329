//! The message that hosts gossip.

use std::sync::Arc;

use egret_model::{SuspectMark, Version, record};
use egret_routes::{Evacuations, RegistryDelta, ReplicaRun, RouteTable, StorePosition};

use crate::Member;

/// Numbers the fields of [`GossipMessage`] and of the types in it, and their order.
///
/// Without field names, a message is read by position and only by builds with the same fields. Raise
/// this with each change of the fields; those that are added need a default. See docs/DESIGN.md.
pub const COMPACT_LAYOUT: u32 = 3;

record! {
    /// The request and the reply of a gossip exchange.
    ///
    /// A message states the versions that its sender has, so that the reply can carry what the
    /// sender lacks; only replies carry configurations and replicas, which are large. A receiver that is behind the
    /// sender starts an exchange of its own.
    pub struct GossipMessage {
        /// The number of hosts that count as live for the sender, itself included.
        pub hosts: u32,
        /// The sender first, then members whose state changed, then in a reply perhaps a sample.
        pub members: Vec<Member>,
        /// The version of the sender's configuration; 0 if it has none.
        pub version: Version,
        /// The position in the store up to which the sender knows all changes of replicas.
        pub synced: StorePosition,
        /// The position of the latest change of a replica that the sender knows.
        pub changed: StorePosition,
        /// Milliseconds since the store last answered a host, as far as the sender has learnt by
        /// gossip or by its own call.
        pub store_age_ms: Option<u64>,
        /// Fingerprints of requests that crashed targets.
        pub marks: Vec<SuspectMark>,
        /// A newer configuration than the receiver's.
        pub table: Option<Arc<RouteTable>>,
        /// Changes of replicas that the receiver lacks.
        pub replicas: Option<RegistryDelta>,
        /// Runs of replicas that announced in a response that they shut down, while the store still
        /// lists them as usable.
        #[serde(default)]
        pub leaving: Vec<ReplicaRun>,
        /// The evacuated data centres as of at least `synced`, in requests and replies alike.
        #[serde(default)]
        pub evacuations: Evacuations,
    }
}

/// The versions that the sender of a message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedChanges {
    /// The version of its configuration.
    pub version: Version,
    /// The position in the store up to which it knows all changes of replicas.
    pub synced: StorePosition,
    /// The position of the latest change of a replica that it knows.
    pub changed: StorePosition,
}

impl GossipMessage {
    /// Returns the versions that the sender has.
    #[must_use]
    pub fn stated_changes(&self) -> StatedChanges {
        StatedChanges { version: self.version, synced: self.synced, changed: self.changed }
    }
}
