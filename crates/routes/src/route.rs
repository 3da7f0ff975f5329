//! The rules for requests under one path prefix.

use std::sync::Arc;

use egret_model::record;

use crate::{Backend, Homes};

record! {
    /// The rules for requests to one host under one path prefix.
    pub struct Route {
        /// The name, for logs and messages between hosts.
        pub name: Arc<str>,
        /// The host name that callers send.
        pub host: Arc<str>,
        /// The path prefix; begins and ends with a slash.
        pub prefix: Arc<str>,
        /// Whether a request may be executed more than once.
        pub idempotent: bool,
        /// The maximum time until a caller has an answer, in milliseconds.
        pub timeout_ms: u64,
        /// The latency objective, in milliseconds.
        #[serde(rename = "goal_ms")]
        pub latency_objective_ms: u64,
        /// The rank among routes; 0 is served first.
        pub priority: u32,
        /// The maximum number of replicas of a service to which one caller's request may be sent.
        pub attempts_max: u32,
        /// The services that serve the requests.
        pub backend: Backend,
        /// The regions in which the requests must stay.
        #[serde(default)]
        pub homes: Homes,
    }
}
