//! How a route's requests are served.

use egret_model::record;

record! {
    /// How a route's requests are served.
    pub enum RouteKind {
        /// Each request goes to one target of one service.
        One,
        /// Each request goes to one target of a service that is drawn by weight.
        Split,
        /// Each request goes to one target of each shard.
        Gather,
    }
}
