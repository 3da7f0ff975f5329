//! Where a request to one target of a service would be sent.

use std::sync::Arc;

use egret_model::record;

use super::{CostView, GathererView, Refusal, TargetView};

record! {
    /// Where a request to one target of a service would be sent.
    pub struct ServiceView {
        /// The service.
        pub service: Arc<str>,
        /// Its weight among the services of a split route.
        pub weight: Option<f64>,
        /// The expected cost of the request; `None` if requests are not placed by their cost.
        pub cost: Option<CostView>,
        /// Whether the target is chosen by expected completion: the service's targets report their load.
        pub by_completion: bool,
        /// The targets, those that take requests first, the best one first among them.
        pub targets: Vec<TargetView>,
        /// The target that would get the request.
        pub chosen: Option<Arc<str>>,
        /// The host that would send it to a target, as this host reaches none.
        pub forwarded_to: Option<GathererView>,
        /// The refusal that the caller would get.
        pub refusal: Option<Refusal>,
    }
}
