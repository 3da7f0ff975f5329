//! The expected cost of requests that need one target, and the return of those that are refused.

use std::{sync::Arc, time::Duration};

use egret_policy::{CostLevel, RequestShape, ReturnSchedule};
use egret_routes::{Backend, Route};

use super::{Core, find, get_or_insert, lock};
use crate::{Mechanism, caller_request::CallerRequest, clock::now, request_work::RequestWork};

/// The least weight of a sample of which the queueing delay was a large share.
const SAMPLE_WEIGHT_MIN: f64 = 0.1;

impl Core {
    /// Returns what a request that needs one target is expected to cost it; `None` for gathers.
    ///
    /// `typical` is the typical latency of its route.
    pub(crate) fn request_work(
        &self,
        route: &Route,
        req: &CallerRequest,
        typical: Duration,
    ) -> Option<RequestWork> {
        if matches!(route.backend, Backend::Gather(_)) || !self.is_enabled(Mechanism::CostAwarePlacement) {
            return None;
        }
        let objective = Duration::from_millis(route.latency_objective_ms);
        let spent =
            find(&lock(&self.stated_budgets), &route.name).and_then(|budgets| budgets.elapsed(req.deadline));
        let costs = lock(&self.request_costs);
        Some(RequestWork {
            cost: costs.expected(now(), shape(route, req), typical),
            mean_cost: costs.mean(now(), &route.name, typical),
            is_cost_known: costs.is_known(now(), &route.name),
            objective,
            is_late: spent.is_some_and(|spent| spent >= objective),
        })
    }

    /// Returns the level at which the expected cost of a request was learned.
    pub(crate) fn cost_level(&self, route: &Route, req: &CallerRequest) -> CostLevel {
        lock(&self.request_costs).level(now(), shape(route, req))
    }

    /// Returns a copy of the schedule by which refused callers may return to a service.
    pub(crate) fn return_schedule(&self, service: &str) -> ReturnSchedule {
        find(&lock(&self.return_schedules), service).copied().unwrap_or_default()
    }

    /// Reads or updates when callers that were refused may return to a service.
    pub(crate) fn with_return_schedule<R>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut ReturnSchedule) -> R,
    ) -> R {
        act(get_or_insert(&mut lock(&self.return_schedules), service, ReturnSchedule::default))
    }

    /// Learns the cost of a request from its latency and from how long it was expected to wait for a slot.
    pub(crate) fn record_request_cost(
        &self,
        route: &Route,
        req: &CallerRequest,
        latency: Duration,
        wait: Duration,
    ) {
        let queueing_share = if latency.is_zero() { 1.0 } else { wait.div_duration_f64(latency) };
        let weight = (1.0 - queueing_share).max(SAMPLE_WEIGHT_MIN);
        let service_time = latency.saturating_sub(wait);
        lock(&self.request_costs).record(now(), shape(route, req), service_time, weight);
    }
}

fn shape<'a>(route: &'a Route, req: &'a CallerRequest) -> RequestShape<'a> {
    RequestShape { route: &route.name, body_bytes: req.body.len(), path: req.path() }
}
