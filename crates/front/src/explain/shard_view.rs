//! Where the part of one shard would be asked for.

use std::sync::Arc;

use egret_model::record;

record! {
    /// Where the part of one shard would be asked for: exactly one of `target`, `gatherer` and `skipped` is set.
    pub struct ShardView {
        /// The service that holds the shard.
        pub service: Arc<str>,
        /// The target that would get the request.
        pub target: Option<Arc<str>>,
        /// The host in another data centre that would ask a target there.
        pub gatherer: Option<Arc<str>>,
        /// Why the shard would be skipped.
        pub skipped: Option<String>,
        /// The expected latency of the part from the best target, in milliseconds.
        pub expected_ms: Option<f64>,
    }
}
