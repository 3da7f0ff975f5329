//! Overloaded services: which of them a fan-out skips, and when it readmits them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::{GatherLimits, ShardChoice, ShardEstimate, choose_shards, max_expected_latency};

use super::{FanOut, NextAttempt};
use crate::{
    Mechanism, clock::now, core::Core, fan_out_options::FanOutOptions, fan_out_result::FanOutResult,
    target_set::TargetSet,
};

/// The expected latency of a shard that a gatherer in another data centre recently skipped.
const OVERLOADED_REMOTE_LATENCY: Duration = Duration::from_millis(1000);

/// After what time a caller may retry if no target of a shard can be used, and none is in backoff.
pub(crate) const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(250);
/// A request that lacks at most this many parts waits for a free slot or for budget.
const WAIT_MISSING_PARTS_MAX: usize = 3;

/// Which skipped services are readmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadmitWhen {
    /// Those whose part is expected by the latency objective.
    LikelyInTime,
    /// Those that seem to have a free slot.
    SlotFree,
}

/// Returns what a request may expect of each of the services that it needs.
pub(crate) fn estimate_services(
    core: &Core,
    targets: &TargetSet,
    now: Instant,
    services: &[Arc<str>],
    options: &FanOutOptions,
) -> Vec<ShardEstimate> {
    let own = &core.options.data_centre;
    let estimate = |service: &Arc<str>| {
        let is_far = options.may_use_remote_gatherers && !targets.has_target_in(service, own);
        if is_far && core.has_remote_overload(now, service) {
            return ShardEstimate {
                expected_latency: Some(OVERLOADED_REMOTE_LATENCY),
                has_free_slot: false,
                backoff_left: Duration::ZERO,
            };
        }
        if is_far {
            return targets.estimate_remote(now, service, options.typical_latency);
        }
        targets.estimate(now, service, options.typical_latency)
    };
    services.iter().map(estimate).collect()
}

/// Chooses the services that a request starts with, within the mechanisms that are enabled.
pub(crate) fn choose_services(
    core: &Core,
    estimates: &[ShardEstimate],
    now: Instant,
    limits: &GatherLimits,
) -> ShardChoice {
    let until_objective = limits.objective_at.saturating_duration_since(now);
    let choice = choose_shards(estimates, limits.min_shards, until_objective);
    let is_enabled = match choice {
        ShardChoice::Ask(_) => core.is_enabled(Mechanism::ShardShedding),
        ShardChoice::Refuse(_) => core.is_enabled(Mechanism::EarlyRefusal),
    };
    if is_enabled { choice } else { ShardChoice::Ask((0..estimates.len()).collect()) }
}

/// Returns whether a request is refused because too few of the parts that it needs can be obtained.
pub(crate) fn are_too_few(core: &Core, obtainable: usize, limits: &GatherLimits) -> bool {
    core.is_enabled(Mechanism::EarlyRefusal) && obtainable < limits.min_shards
}

impl FanOut<'_> {
    /// Skips overloaded services, where enough others remain for an answer.
    ///
    /// # Errors
    /// Returns the time after which the caller may retry, where too few services remain.
    pub(super) fn skip_overloaded(&mut self) -> Result<(), Duration> {
        if self.services.len() <= 1 {
            return Ok(());
        }
        let targets = self.targets();
        let now = now();
        let estimates = estimate_services(self.core, &targets, now, self.services, &self.options);
        match choose_services(self.core, &estimates, now, &self.options.limits) {
            ShardChoice::Ask(asked) => {
                for shard in 0..self.services.len() {
                    if asked.binary_search(&shard).is_err() {
                        self.progress.abandon_shard(shard);
                        self.skipped.push(shard);
                    }
                }
                self.result.overloaded.clone_from(&self.skipped);
                Ok(())
            }
            ShardChoice::Refuse(retry_after) => {
                self.result.overload_detail = self.describe_overload(now, &estimates);
                Err(retry_after)
            }
        }
    }

    /// Describes the shards that cannot be asked: by this host's view of its targets, or by what
    /// gatherers in other data centres reported.
    fn describe_overload(&self, now: Instant, estimates: &[ShardEstimate]) -> String {
        let count =
            |is_meant: &dyn Fn(usize) -> bool| (0..estimates.len()).filter(|at| is_meant(*at)).count();
        let targets = self.targets();
        let without_target = count(&|at| estimates[at].expected_latency.is_none());
        let ejected = count(&|at| targets.are_all_ejected(now, &self.services[at]));
        let reported = count(&|at| self.core.has_remote_overload(now, &self.services[at]));
        format!(
            "{} shards, {} of them needed; without a target: {without_target}, with ejected targets only: \
             {ejected}, reported by other gatherers: {reported}",
            estimates.len(),
            self.options.limits.min_shards
        )
    }

    /// Returns whether the targets that were chosen are too few for an answer: other requests have taken
    /// the room of some since the fan-out began.
    pub(super) fn lacks_targets(&self) -> bool {
        self.services.len() > 1
            && !self.options.is_repeat
            && are_too_few(self.core, self.progress.obtainable_parts(), &self.options.limits)
    }

    /// Ends the fan-out before any of the chosen attempts is sent.
    pub(super) fn refuse(mut self, attempts: &[NextAttempt]) -> FanOutResult {
        attempts.iter().for_each(|attempt| attempt.target.return_limit_room(now()));
        self.result.overload_detail = "too few shards have a target that takes requests".to_owned();
        self.result.overload_retry_after = Some(self.result.backoff_left.unwrap_or(RETRY_AFTER_DEFAULT));
        self.result
    }

    /// Readmits the skipped services that can take the request now; returns the attempts to send.
    pub(super) fn readmit(&mut self, when: ReadmitWhen) -> Vec<NextAttempt> {
        if self.skipped.is_empty() {
            return Vec::new();
        }
        let now = now();
        let until_objective = self.options.limits.objective_at.saturating_duration_since(now);
        let targets = self.targets();
        let can_readmit = |shard: &usize| {
            if self.placed_work.is_some() {
                return self.has_placement(*shard);
            }
            let estimate = targets.estimate(now, &self.services[*shard], self.options.typical_latency);
            if !estimate.backoff_left.is_zero() {
                return false;
            }
            match when {
                ReadmitWhen::LikelyInTime => estimate
                    .expected_latency
                    .is_some_and(|expected| expected <= max_expected_latency(until_objective)),
                ReadmitWhen::SlotFree => estimate.has_free_slot,
            }
        };
        let (readmitted, still_skipped): (Vec<usize>, Vec<usize>) =
            self.skipped.iter().partition(|shard| can_readmit(shard));
        self.skipped = still_skipped;
        let mut attempts = Vec::new();
        for shard in readmitted {
            self.progress.restore_shard(shard);
            attempts.extend(self.next_attempt(shard));
        }
        attempts
    }

    /// Returns whether skipped services could still provide the parts that the answer lacks.
    ///
    /// A request that lacks more than a few parts would take budget and slots from other requests
    /// and hardly ever become complete. After half of the time between latency objective and deadline
    /// the request fails, so that its caller can retry.
    pub(super) fn can_still_be_enough(&self) -> bool {
        let lacking = self.options.limits.min_shards.saturating_sub(self.progress.obtainable_parts());
        let GatherLimits { objective_at, deadline, .. } = self.options.limits;
        let until = self
            .shed_retries_end()
            .unwrap_or_else(|| objective_at + deadline.saturating_duration_since(objective_at) / 2);
        let now = now();
        let targets = self.targets();
        let is_out_of_backoff =
            |shard: &&usize| now + targets.backoff_left(now, &self.services[**shard]) < until;
        let possible = self.skipped.iter().filter(is_out_of_backoff).count();
        self.core.is_enabled(Mechanism::WaitForSlot)
            && now < until
            && lacking <= possible.min(WAIT_MISSING_PARTS_MAX)
    }
}
