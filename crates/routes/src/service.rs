//! One service.

use std::sync::Arc;

use egret_model::record;

record! {
    /// What all replicas of a service have in common.
    pub struct Service {
        /// The name.
        pub name: Arc<str>,
        /// The path of the health check.
        pub health_path: Arc<str>,
        /// Connections that a replica accepts from all hosts together.
        pub connections_max: u32,
    }
}
