//! The route of an explained request.

use std::sync::Arc;

use egret_model::record;
use egret_routes::{Backend, Route};

use super::RouteKind;

record! {
    /// The route of an explained request.
    pub struct RouteView {
        /// The name.
        pub name: Arc<str>,
        /// How its requests are served.
        pub kind: RouteKind,
        /// The rank among routes; 0 is served first.
        pub priority: u32,
        /// The latency objective, in milliseconds.
        pub objective_ms: u64,
        /// The maximum time until a caller has an answer, in milliseconds.
        pub timeout_ms: u64,
        /// The maximum number of replicas of a service to which one request may be sent.
        pub attempts_max: u32,
        /// Whether a request may be executed more than once.
        pub idempotent: bool,
    }
}

impl From<&Route> for RouteView {
    fn from(route: &Route) -> Self {
        let kind = match &route.backend {
            Backend::One(_) => RouteKind::One,
            Backend::Split(_) => RouteKind::Split,
            Backend::Gather(_) => RouteKind::Gather,
        };
        Self {
            name: Arc::clone(&route.name),
            kind,
            priority: route.priority,
            objective_ms: route.latency_objective_ms,
            timeout_ms: route.timeout_ms,
            attempts_max: route.attempts_max,
            idempotent: route.idempotent,
        }
    }
}
