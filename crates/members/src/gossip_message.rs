//! What one host tells another.

use std::sync::Arc;

use egret_model::{SuspectMark, Version, record};
use egret_routes::{RegistryDelta, ReplicaRun, RouteTable, StorePosition};

use crate::Member;

record! {
    /// One message between hosts, and its answer.
    ///
    /// It says how far the sender has come, so that the answer can carry what the sender
    /// lacks; only answers carry configurations and replicas. A receiver that is behind asks
    /// the sender in turn.
    pub struct GossipMessage {
        /// Hosts that the sender knows, itself included.
        pub hosts: u32,
        /// The sender first, then some other members.
        pub members: Vec<Member>,
        /// The sender's configuration; version 0 where it has none.
        pub version: Version,
        /// The position in the store up to which the sender knows every replica's changes.
        pub synced: StorePosition,
        /// The position of the last change of a replica that the sender knows.
        pub changed: StorePosition,
        /// Milliseconds since the store last answered a host that told the sender.
        pub store_age_ms: Option<u64>,
        /// Requests that broke targets.
        pub marks: Vec<SuspectMark>,
        /// A configuration that the receiver lacks.
        pub table: Option<Arc<RouteTable>>,
        /// Changes of replicas that the receiver lacks.
        pub replicas: Option<RegistryDelta>,
        /// Runs of replicas that say in their answers that they leave, of which the store does
        /// not say so yet.
        #[serde(default)]
        pub leaving: Vec<ReplicaRun>,
    }
}
