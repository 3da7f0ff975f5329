//! One target, as a request would find it.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

use super::TargetCondition;

record! {
    /// One target, as a request would find it.
    pub struct TargetView {
        /// The identifier.
        pub id: Arc<str>,
        /// The address.
        pub address: SocketAddr,
        /// The data centre.
        pub data_centre: Arc<str>,
        /// What keeps requests from it or makes it slower; `Ready` alone if nothing does.
        pub conditions: Vec<TargetCondition>,
        /// The time until it takes requests, in milliseconds; 0 if it does now.
        pub until_room_ms: f64,
        /// The work that is pending there, by its slots, in milliseconds; `None` if it gets no requests, or if requests
        /// are not placed by their cost.
        pub backlog_ms: Option<f64>,
        /// Its latency without a queue, as a multiple of the usual one.
        pub slowness: Option<f64>,
        /// When the request is expected to be answered, from now, in milliseconds.
        pub completion_ms: Option<f64>,
        /// Whether the random part of the choice could also give it the request: it is almost as good as the best one.
        pub may_be_chosen: bool,
    }
}
