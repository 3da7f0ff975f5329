//! Drain signals of targets, which the relays of a block pass on to each other.

use std::net::SocketAddr;

use egret_model::{Incarnation, ServiceName, record};

record! {
    /// A target that refused a sub-request because it is draining.
    #[derive(Eq)]
    pub struct LeavingTarget {
        /// The target's service.
        pub service: ServiceName,
        /// The address of the target.
        pub address: SocketAddr,
        /// The run of the target that is draining, if known; a restarted target is a new run and takes work.
        pub incarnation: Option<Incarnation>,
        /// Milliseconds since the target reported that it is draining.
        pub age_ms: u32,
    }
}
