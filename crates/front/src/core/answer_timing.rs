//! When answers have to be sent to reach callers within the latency objective.

use std::time::{Duration, Instant};

use egret_policy::{AnswerDelivery, CallerBudgets};
use egret_routes::{Backend, RECORD_BYTES, Route};

use super::{Core, get_or_insert, lock};
use crate::{Mechanism, caller_request::CallerRequest, clock::now};

/// A caller that spent a greater share of its latency objective than this before its request arrived
/// misses the objective anyway.
const SPENT_OBJECTIVE_SHARE_MAX: f64 = 0.5;
/// The approximate size in an answer of the receipt of one target.
const RECEIPT_BYTES: usize = 32;

impl Core {
    /// Returns when the host has to start writing the answer to a request, for it to reach the caller
    /// within the route's latency objective.
    pub(crate) fn answer_due_at(&self, route: &Route, req: &CallerRequest) -> Instant {
        let spent = if self.is_enabled(Mechanism::LearnedCallerDelay) {
            self.spent_before_arrival(route, req)
        } else {
            None
        };
        spent.into_iter().for_each(|spent| lock(&self.lead_time).record_connection_setup(spent));
        self.answer_due_after(route, req, spent)
    }

    /// Returns when the answer to a request is due whose caller is known to have spent `spent` of its time budget.
    pub(crate) fn answer_due_after(
        &self,
        route: &Route,
        req: &CallerRequest,
        spent: Option<Duration>,
    ) -> Instant {
        let objective = Duration::from_millis(route.latency_objective_ms);
        let bytes = match &route.backend {
            Backend::Gather(plan) if self.is_enabled(Mechanism::LinkTransferTime) => {
                plan.shards.len() * RECEIPT_BYTES + plan.top_k * RECORD_BYTES
            }
            _ => 0,
        };
        // A caller that misses the latency objective anyway is answered like one whose spent time is
        // unknown.
        let spent = spent.filter(|&spent| spent < objective.mul_f64(SPENT_OBJECTIVE_SHARE_MAX));
        let delivery = AnswerDelivery { on_new_connection: req.is_new_connection, elapsed: spent, bytes };
        req.arrived_at + objective.saturating_sub(lock(&self.lead_time).estimate(delivery))
    }

    /// Returns the part of its time budget that a caller spent before it sent the request, if the
    /// stated budgets of the route show it.
    fn spent_before_arrival(&self, route: &Route, req: &CallerRequest) -> Option<Duration> {
        let mut budgets = lock(&self.stated_budgets);
        let stated = get_or_insert(&mut budgets, &route.name, CallerBudgets::default);
        if !req.is_new_connection {
            stated.record(req.deadline);
            return None;
        }
        stated.elapsed(req.deadline)
    }

    /// Records that an answer was written now that was due at `due_at`.
    pub(crate) fn answer_written(&self, due_at: Instant) {
        let delay = now().saturating_duration_since(due_at);
        if self.is_enabled(Mechanism::LearnedAnswerDelay) {
            lock(&self.lead_time).record_send_delay(delay);
        }
        self.instruments.answer_delay(delay);
    }
}
