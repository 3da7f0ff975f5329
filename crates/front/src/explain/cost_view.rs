//! What a request is expected to cost its target.

use egret_model::record;
use egret_policy::CostLevel;

record! {
    /// What a request is expected to cost its target.
    pub struct CostView {
        /// The expected service time, in milliseconds.
        pub expected_ms: f64,
        /// The level at which it was learned.
        pub level: CostLevel,
        /// The mean service time of the route's requests, in milliseconds.
        pub mean_ms: f64,
    }
}
