//! The levels at which the service time of requests is learned.

use egret_model::record;

record! {
    /// The level at which a request's expected service time was learned, from the coarsest to the finest.
    pub enum CostLevel {
        /// Nothing was learned; the typical latency of the route counts.
        TypicalLatency,
        /// From all requests of the route.
        Route,
        /// From the route's requests with a body of the same size class.
        BodySize,
        /// From those with a path of the same shape, too.
        PathShape,
        /// From those with the same path.
        Path,
    }
}
