//! The shares of a gather that other gatherers of the own data centre are asked for.

use std::{sync::Arc, time::Duration};

use egret_policy::{SpreadCandidate, SpreadGather, gather_spread};

use super::FanOut;
use crate::{Mechanism, clock::now, fleet_view::GATHER_MILLICORES, target::Target};

/// Loads are raised at random by up to this share, so that gatherers that are about as quick share the work.
const LOAD_JITTER: f64 = 0.3;

impl FanOut<'_> {
    /// Returns the gatherers that are asked for a share of the gather, each with its shards; none where this host has
    /// the processor time for all parts.
    ///
    /// A gather that may have run elsewhere is not spread: that would send it to further hosts. Nor is one that starts
    /// while others wait: the calls take processor time that those need.
    pub(super) fn shares(&self) -> Vec<(Arc<Target>, Vec<usize>)> {
        let options = &self.core.options;
        let mut gather = SpreadGather {
            shards: self.services.len(),
            millicores: options.millicores,
            objective: Duration::from_millis(self.route.latency_objective_ms),
        };
        if !self.options.may_spread || !gather.is_too_long() || !self.core.is_enabled(Mechanism::GatherSpread)
        {
            return Vec::new();
        }
        let now = now();
        let targets = self.targets();
        let is_local = |&shard: &usize| {
            !self.progress.is_abandoned(shard)
                && !self.progress.has_outstanding_attempt(shard)
                && targets.has_target_in(&self.services[shard], &options.data_centre)
        };
        let mut shards: Vec<usize> = (0..self.services.len()).filter(is_local).collect();
        gather.shards = shards.len();
        let gatherers = self.core.gatherers_within(&self.req.homes);
        let gatherers = gatherers.targets_of(&options.data_centre);
        let is_candidate = |target: &&Arc<Target>| target.accepts_requests(now) && !target.is_ejected(now);
        let available: Vec<&Arc<Target>> = gatherers.iter().filter(is_candidate).collect();
        // One that was not asked yet counts as quick as the quickest, or it would never be asked.
        let lowest_slowness = available.iter().map(|target| target.slowness(now)).fold(1.0, f64::min);
        let candidate = |target: &&Arc<Target>| SpreadCandidate {
            millicores: target.replica.slots * GATHER_MILLICORES,
            load: target.cost_with_prior(now, lowest_slowness) * (1.0 + LOAD_JITTER * fastrand::f64()),
        };
        let candidates: Vec<SpreadCandidate> = available.iter().map(candidate).collect();
        let shares = gather_spread(gather, &candidates);
        let mut taken = |shards_of_share: usize| shards.split_off(shards.len() - shards_of_share);
        let shares: Vec<_> = shares
            .iter()
            .map(|share| (Arc::clone(available[share.candidate]), taken(share.shards)))
            .collect();
        self.core.instruments.gather_shares(shares.len());
        shares
    }

    /// Counts the parts that this host asks targets for, where the fan-out is a gather.
    pub(super) fn count_parts(&self, parts: usize) {
        if self.is_gather {
            self.core.count_parts(parts);
        }
    }
}
