//! A target that leaves, told among the relays of a block.

use std::net::SocketAddr;

use egret_model::{Incarnation, ServiceName, record};

record! {
    /// A target that refused work as draining.
    #[derive(Eq)]
    pub struct LeavingTarget {
        /// The target's service.
        pub service: ServiceName,
        /// The target.
        pub address: SocketAddr,
        /// The target's run that leaves, where it is known.
        pub incarnation: Option<Incarnation>,
        /// Milliseconds since the target said so.
        pub age_ms: u32,
    }
}
