//! What would happen to a request.

use std::sync::Arc;

use egret_model::record;

use super::{GatherView, Refusal, RouteView, ServiceView};

record! {
    /// What would happen to a request that a caller sent to this host now.
    pub struct Explanation {
        /// The name of the host that answers.
        pub node: Arc<str>,
        /// Its data centre.
        pub data_centre: Arc<str>,
        /// The version of its configuration.
        pub config_version: u64,
        /// The route that matches, if one does.
        pub route: Option<RouteView>,
        /// The refusal that the caller would get before a service is considered.
        pub refusal: Option<Refusal>,
        /// The services that may get the request, if it needs one target.
        pub services: Vec<ServiceView>,
        /// The gather, if it needs several.
        pub gather: Option<GatherView>,
        /// What else affects the request.
        pub notes: Vec<String>,
    }
}
