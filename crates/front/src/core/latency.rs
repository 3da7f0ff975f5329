//! The measured latencies of exchanges, by route.

use std::time::Duration;

use egret_routes::Route;

use super::{Core, find, get_or_insert, lock};
use crate::route_latency::RouteLatency;

impl Core {
    /// Reads or updates the measured latency of a route.
    pub(crate) fn with_latency<R>(&self, route: &Route, act: impl FnOnce(&mut RouteLatency) -> R) -> R {
        act(get_or_insert(&mut lock(&self.latencies), &route.name, || RouteLatency::new(route)))
    }

    /// Returns the typical latency of a route, and how long after an attempt a hedge may be sent.
    pub(crate) fn latencies(&self, route: &Route) -> (Duration, Duration) {
        let read = |latency: &RouteLatency| (latency.typical(), latency.hedge_delay());
        find(&lock(&self.latencies), &route.name).map_or_else(|| read(&RouteLatency::new(route)), read)
    }
}
