//! The settings of a service.

use std::sync::Arc;

use egret_model::record;

use crate::WarmUp;

record! {
    /// The settings that all replicas of a service share.
    pub struct Service {
        /// The name.
        pub name: Arc<str>,
        /// The path of the replicas' health check.
        pub health_path: Arc<str>,
        /// The maximum number of connections to one replica from all hosts together.
        pub connections_max: u32,
        /// What a replica tolerates while it warms up; `None` if that is not limited.
        #[serde(default)]
        pub warm_up: Option<WarmUp>,
    }
}
