//! One route.

use std::sync::Arc;

use egret_model::record;

use crate::Backend;

record! {
    /// What is promised to the requests under one prefix.
    pub struct Route {
        /// The name, for logs.
        pub name: Arc<str>,
        /// The host that callers name.
        pub host: Arc<str>,
        /// The start of the path; begins and ends with a slash.
        pub prefix: Arc<str>,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Milliseconds for which a caller may be kept waiting.
        pub timeout_ms: u64,
        /// Milliseconds within which an answer is worth most.
        #[serde(rename = "goal_ms")]
        pub latency_objective_ms: u64,
        /// The rank among routes; 0 goes first.
        pub priority: u32,
        /// Replicas of a service to which one attempt of a caller may be sent.
        pub attempts_max: u32,
        /// Where the requests go.
        pub backend: Backend,
    }
}
