//! A service of a weighted traffic split.

use std::sync::Arc;

use egret_model::record;

record! {
    /// A service and its share of a route's requests.
    pub struct WeightedService {
        /// The service.
        pub service: Arc<str>,
        /// The weight, relative to the weights of the route's other services.
        pub weight: f64,
    }
}
