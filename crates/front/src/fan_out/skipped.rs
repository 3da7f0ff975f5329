//! Services that are overloaded: which are left out, and which are asked after all.

use std::{sync::Arc, time::Duration};

use egret_policy::{GatherLimits, ShardChoice, ShardEstimate, choose_shards, max_expected_latency};

use super::{FanOut, NextAttempt};
use crate::{Mechanism, clock::now};

/// What a part of a shard is expected to take that a gatherer of another data centre left out.
const OVERLOADED_REMOTE_LATENCY: Duration = Duration::from_millis(1000);

/// Parts that a request may lack to wait for room or budget.
const WAIT_MISSING_PARTS_MAX: usize = 3;

/// Which services that were left out are asked after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadmitWhen {
    /// Those that promise a part by the goal.
    LikelyInTime,
    /// Those that seem to have a free slot.
    SlotFree,
}

impl FanOut<'_> {
    /// Leaves out services that are overloaded, where enough others remain.
    pub(super) fn skip_overloaded(&mut self) -> Result<(), Duration> {
        if self.services.len() <= 1 {
            return Ok(());
        }
        let targets = self.core.targets.load();
        let now = now();
        let own = &self.core.options.data_centre;
        let outlook = |service: &Arc<str>| {
            let is_far = self.options.may_use_remote_gatherers && !targets.has_target_in(service, own);
            if is_far && self.core.has_remote_overload(now, service) {
                return ShardEstimate {
                    expected_latency: Some(OVERLOADED_REMOTE_LATENCY),
                    has_free_slot: false,
                    backoff_left: Duration::ZERO,
                };
            }
            targets.outlook(now, service, self.options.typical_latency)
        };
        let outlooks: Vec<ShardEstimate> = self.services.iter().map(outlook).collect();
        let to_goal = self.options.limits.goal_at.saturating_duration_since(now);
        match choose_shards(&outlooks, self.options.limits.min_shards, to_goal) {
            ShardChoice::Ask(_) if !self.core.is_enabled(Mechanism::ShardShedding) => Ok(()),
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
            ShardChoice::Refuse(_) if !self.core.is_enabled(Mechanism::EarlyRefusal) => Ok(()),
            ShardChoice::Refuse(retry_after) => Err(retry_after),
        }
    }

    /// Asks services after all that were left out.
    pub(super) fn readmit(&mut self, when: ReadmitWhen) -> Vec<NextAttempt> {
        if self.skipped.is_empty() {
            return Vec::new();
        }
        let now = now();
        let to_goal = self.options.limits.goal_at.saturating_duration_since(now);
        let targets = self.core.targets.load_full();
        let is_wanted = |shard: &usize| {
            let outlook = targets.outlook(now, &self.services[*shard], self.options.typical_latency);
            if !outlook.backoff_left.is_zero() {
                return false;
            }
            match when {
                ReadmitWhen::LikelyInTime => {
                    outlook.expected_latency.is_some_and(|expected| expected <= max_expected_latency(to_goal))
                }
                ReadmitWhen::SlotFree => outlook.has_free_slot,
            }
        };
        let (taken, left): (Vec<usize>, Vec<usize>) = self.skipped.iter().partition(|shard| is_wanted(shard));
        self.skipped = left;
        let mut attempts = Vec::new();
        for shard in taken {
            self.progress.restore_shard(shard);
            attempts.extend(self.next_attempt(shard));
        }
        attempts
    }

    /// Tells whether services that were left out could still make the answer complete enough.
    ///
    /// A request that lacks more than a few parts would take budget and slots from others
    /// and hardly ever become complete. After half of the time the caller is told, so that it
    /// can come back.
    pub(super) fn can_still_be_enough(&self) -> bool {
        let lacking = self.options.limits.min_shards.saturating_sub(self.progress.obtainable_parts());
        let GatherLimits { goal_at, deadline, .. } = self.options.limits;
        let until = goal_at + deadline.saturating_duration_since(goal_at) / 2;
        let now = now();
        let targets = self.core.targets.load();
        let opens = |shard: &&usize| now + targets.backoff_left(now, &self.services[**shard]) < until;
        let possible = self.skipped.iter().filter(opens).count();
        self.core.is_enabled(Mechanism::WaitForSlot)
            && now < until
            && lacking <= possible.min(WAIT_MISSING_PARTS_MAX)
    }
}
