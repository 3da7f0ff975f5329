//! What one host tells another.

use std::sync::Arc;

use egret_model::{Mark, Version, record};
use egret_routes::{RegistryDelta, RouteTable};

use crate::Member;

record! {
    /// One message between hosts, and its answer.
    ///
    /// It carries what the receiver lacks as far as the sender knows, and says how far the
    /// sender itself has come, so that the answer can carry the rest.
    pub struct News {
        /// The sender first, then some other members.
        pub members: Vec<Member>,
        /// The sender's configuration; version 0 where it has none.
        pub version: Version,
        /// The store's revision up to which the sender knows every replica's changes.
        pub synced: u64,
        /// Milliseconds since the store last answered a host that told the sender.
        pub store_age_ms: Option<u64>,
        /// Requests that broke targets.
        pub marks: Vec<Mark>,
        /// A configuration that the receiver may lack.
        pub table: Option<Arc<RouteTable>>,
        /// Changes of replicas that the receiver may lack.
        pub replicas: Option<RegistryDelta>,
    }
}
