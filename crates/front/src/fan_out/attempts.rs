//! Attempts: the single requests of a fan-out, each sent to one target.
//!
//! The first attempt at a service earns retry budget; retries and hedges spend it.

use std::{sync::Arc, time::Duration};

use egret_policy::max_expected_latency;

use super::{FanOut, FanOutEvent, placement::first_filter};
use crate::{
    clock::now,
    exchange::{ExchangeOptions, exchange},
    target::Target,
    target_answer::{ExchangeResult, LossCause},
    target_set::PickFilter,
};

/// An attempt to be made, with the target that was chosen for it.
pub(super) struct NextAttempt {
    pub(super) shard: usize,
    pub(super) target: Arc<Target>,
}

/// The outcome of an attempt.
pub(super) struct AttemptEnd {
    pub(super) shard: usize,
    pub(super) latency: Duration,
    /// How long it was expected to wait for a slot.
    pub(super) wait: Duration,
    pub(super) result: ExchangeResult,
}

impl FanOut<'_> {
    /// Chooses the target of the first attempt at a service, or of a retry after a failure.
    ///
    /// Returns `None` where no untried target can take it, or the budget does not allow it.
    pub(super) fn next_attempt(&mut self, shard: usize) -> Option<NextAttempt> {
        let service = &self.services[shard];
        let filter = first_filter(self.placed_work);
        let target = self.targets().pick(now(), &[service], &self.tried[shard], filter);
        let Some(target) = target else {
            self.result.without_target += u32::from(self.delivered[shard] == 0);
            let backoff_left = self.targets().backoff_left(now(), service);
            self.result.backoff_left =
                self.result.backoff_left.max(Some(backoff_left).filter(|time| !time.is_zero()));
            self.progress.abandon_shard(shard);
            return None;
        };
        if let Some(retry_after) = self.refusal(shard, &target) {
            self.refuse_placement(shard, retry_after);
            return None;
        }
        if self.delivered[shard] == 0 && !self.options.is_repeat {
            self.core.credit_extra_attempt_budget(now(), service, self.is_gather);
        } else if !self.core.try_spend_extra_attempt_budget(now(), service, self.is_gather) {
            // The budget may allow the attempt later.
            self.progress.abandon_shard(shard);
            self.skipped.push(shard);
            return None;
        } else {
            self.result.extra_attempts += 1;
        }
        if self.placed_work.is_some() {
            self.core.with_return_schedule(service, |schedule| schedule.record_served(now()));
            self.core.instruments.placement("sent");
        }
        self.record_sent(shard, &target);
        Some(NextAttempt { shard, target })
    }

    /// Chooses the target of a hedge: a second attempt while the first one is still running.
    pub(super) fn hedge(&mut self, shard: usize) -> Option<NextAttempt> {
        let service = &self.services[shard];
        let now_at = now();
        let left = max_expected_latency(self.options.limits.objective_at.saturating_duration_since(now_at));
        // Past the latency objective the answer is late anyway, but a hedge to a target without a queue
        // still makes it less late: a cost of one typical latency is always affordable.
        let affordable =
            left.max(self.options.typical_latency).div_duration_f64(self.options.typical_latency);
        let filter = self
            .placed_work
            .map_or(PickFilter::MaxCost(affordable), |work| PickFilter::FreeSlot(work, left.max(work.cost)));
        let target = self.targets().pick(now_at, &[service], &self.tried[shard], filter);
        let Some(target) = target else {
            self.result.hedges_without_target += 1;
            return None;
        };
        if !self.core.try_spend_extra_attempt_budget(now(), service, self.is_gather) {
            self.result.hedges_without_budget += 1;
            return None;
        }
        self.result.extra_attempts += 1;
        self.record_sent(shard, &target);
        Some(NextAttempt { shard, target })
    }

    /// Counts an attempt at a shard; [`ExchangeResult::NotSent`] undoes this.
    pub(super) fn record_sent(&mut self, shard: usize, target: &Arc<Target>) {
        target.take_limit_room(now());
        self.tried[shard].push(Arc::clone(&target.replica.id));
        self.delivered[shard] += 1;
        self.progress.record_sent(now(), shard);
    }

    /// Sends an attempt; the returned future ends with its outcome.
    pub(super) fn run_attempt(&self, next: NextAttempt) -> impl Future<Output = FanOutEvent> + Send + use<> {
        let NextAttempt { shard, target } = next;
        let sent_at = now();
        let wait = self.expected_wait(shard, &target);
        let options = ExchangeOptions {
            end_at: self.options.limits.deadline,
            typical_latency: self.options.work.map_or(self.options.typical_latency, |work| work.cost),
            work: self.options.work.map(|work| (work, wait)),
            // The answer to an earlier request may still arrive on a reused connection. It must
            // not reach a request that cannot be retried, nor one that met such an answer before.
            new_connection_only: !self.options.may_retry || self.result.last_loss == Some(LossCause::Foreign),
            top_k: self.top_k,
        };
        let run = exchange(Arc::clone(self.core), target, Arc::clone(self.req), options);
        async move {
            let result = run.await;
            let latency = now().saturating_duration_since(sent_at);
            FanOutEvent::Attempt(AttemptEnd { shard, latency, wait, result })
        }
    }

    /// Records the outcome of an attempt; returns the retry to send, if any.
    pub(super) fn on_attempt_end(&mut self, attempt: AttemptEnd) -> Option<NextAttempt> {
        let shard = attempt.shard;
        self.has_answer |= matches!(
            attempt.result,
            ExchangeResult::Success(_) | ExchangeResult::Failure(_) | ExchangeResult::NotRun(_)
        );
        match attempt.result {
            ExchangeResult::Success(answer) => {
                self.core.with_latency(self.route, |latency| latency.add(attempt.latency));
                self.core.instruments.part(attempt.latency);
                self.result.queued_per_slot.extend(answer.queued_per_slot);
                if self.options.work.is_some() {
                    self.core.record_request_cost(self.route, self.req, attempt.latency, attempt.wait);
                }
                self.progress.record_part(shard);
                self.result.may_have_run = true;
                if self.result.remote_receipts[shard].is_none() {
                    self.result.parts[shard].get_or_insert(answer);
                }
                return None;
            }
            ExchangeResult::Failure(answer) => {
                self.result.may_have_run = true;
                let is_final = !answer.status.is_server_error();
                if answer.receipt.is_some() {
                    self.result.failure = Some(answer);
                }
                if is_final || !self.options.may_retry {
                    self.progress.record_failure(shard);
                    self.progress.abandon_shard(shard);
                    return None;
                }
            }
            ExchangeResult::Lost(cause) => {
                self.result.may_have_run = true;
                self.result.last_loss = Some(cause);
                if !self.options.may_retry {
                    self.progress.record_failure(shard);
                    self.progress.abandon_shard(shard);
                    return None;
                }
            }
            ExchangeResult::NotRun(_) => {
                if !self.progress.record_failure(shard) {
                    self.progress.abandon_shard(shard);
                    if !self.progress.has_part(shard) && self.progress.is_abandoned(shard) {
                        // A target that shed the request may have a free slot later.
                        self.tried[shard].clear();
                        self.skipped.push(shard);
                    }
                    return None;
                }
                return self.next_attempt(shard);
            }
            ExchangeResult::Abandoned => {
                self.delivered[shard] -= 1;
                self.progress.undo_sent(shard);
                self.progress.abandon_shard(shard);
                return None;
            }
            ExchangeResult::NotSent => {
                self.delivered[shard] -= 1;
                self.progress.undo_sent(shard);
                return self.next_attempt(shard);
            }
        }
        if self.progress.record_failure(shard) {
            return self.next_attempt(shard);
        }
        self.progress.abandon_shard(shard);
        None
    }
}
