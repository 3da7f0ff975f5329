//! The memory of gatherers that refused.

use std::{sync::Arc, time::Duration};

use egret_routes::Route;

use super::{Core, lock};
use crate::clock::now;

impl Core {
    /// Records that a gatherer refused a gather of a route.
    pub(crate) fn record_refusal(&self, route: &Route, gatherer: &Arc<str>) {
        let objective = Duration::from_millis(route.latency_objective_ms);
        lock(&self.refusals).record(now(), gatherer, route.priority, objective);
    }

    /// Returns the gatherers that refused a gather like those of a route a moment ago.
    pub(crate) fn refusers(&self, route: &Route) -> Vec<Arc<str>> {
        let objective = Duration::from_millis(route.latency_objective_ms);
        lock(&self.refusals).refusers(now(), route.priority, objective).cloned().collect()
    }
}
