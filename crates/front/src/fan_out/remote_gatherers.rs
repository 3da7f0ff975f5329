//! Parts that gatherers of other data centres bring, or that are brought to one.

use std::sync::Arc;

use egret_events::Code;
use egret_policy::{RemoteShardGroup, group_remote_shards};

use super::{FanOut, FanOutEvent, Next};
use crate::{
    Mechanism,
    clock::now,
    delegate::{DelegateError, call_for_parts},
    gather_call::GatherReply,
    gather_frames::FrameReader,
    gather_options::GatherOptions,
    target::Target,
    target_set::PickFilter,
};

/// A reply of a gatherer of another data centre, and what reads the next one.
pub(super) struct RemoteReply {
    pub(super) shards: Vec<usize>,
    pub(super) result: Result<(GatherReply, FrameReader), DelegateError>,
    pub(super) is_first: bool,
}

/// A gatherer of another data centre that has further replies.
pub(super) struct RemoteGatherer {
    pub(super) shards: Vec<usize>,
    pub(super) replies: FrameReader,
}

impl RemoteGatherer {
    pub(super) async fn next(mut self) -> FanOutEvent {
        let result = self.replies.next().await;
        let result = result.map(|reply| (reply, self.replies));
        FanOutEvent::RemoteReply(RemoteReply { shards: self.shards, result, is_first: false })
    }
}

impl FanOut<'_> {
    /// Finds gatherers of other data centres for shards that have no target nearby.
    pub(super) fn remote_gatherers(&self) -> Vec<(Arc<Target>, Vec<usize>)> {
        if !self.options.may_use_remote_gatherers || !self.core.is_enabled(Mechanism::RemoteMerging) {
            return Vec::new();
        }
        let targets = self.core.targets.load();
        let names = targets.data_centres();
        let holders: Vec<Vec<usize>> =
            self.services.iter().map(|service| targets.data_centres_of(service, &names)).collect();
        let own = names.iter().position(|name| **name == *self.core.options.data_centre);
        let gatherers = self.core.gatherers.load();
        let mut found = Vec::new();
        for RemoteShardGroup { data_centre, mut shards } in
            group_remote_shards(&holders, own, fastrand::u64(..))
        {
            shards.retain(|&shard| !self.progress.is_abandoned(shard));
            if shards.is_empty() {
                continue;
            }
            let gatherer = gatherers.pick(now(), &[&names[data_centre]], &[], PickFilter::NotAvoided);
            found.extend(gatherer.map(|gatherer| (gatherer, shards)));
        }
        found
    }

    /// Asks a gatherer of another data centre for the parts of some shards.
    pub(super) fn call_remote_gatherer(
        &mut self,
        gatherer: Arc<Target>,
        shards: Vec<usize>,
    ) -> impl Future<Output = FanOutEvent> + Send + use<> {
        for &shard in &shards {
            self.progress.record_sent(now(), shard);
            // The gatherer there decides on second copies.
            self.progress.forbid_hedge(shard);
        }
        let options =
            GatherOptions { is_repeat: self.options.is_repeat, answer_at: self.options.limits.goal_at };
        let call = call_for_parts(gatherer, self.route, self.req, &shards, options);
        async move {
            let result = async {
                let mut replies = call.await?;
                Ok((replies.next().await?, replies))
            };
            FanOutEvent::RemoteReply(RemoteReply { shards, result: result.await, is_first: true })
        }
    }

    /// Takes a reply of a gatherer; returns the copies to send for parts that it will not bring.
    pub(super) fn on_remote_reply(&mut self, remote: RemoteReply) -> Vec<Next> {
        match remote.result {
            Ok((reply, replies)) => {
                let is_last = reply.is_last;
                let not_asked = reply.not_asked.clone();
                if !self.merge_reply(&remote.shards, reply) {
                    return self.on_gatherer_lost(remote.shards, DelegateError::Broken, false);
                }
                if !is_last {
                    return vec![Next::RemoteReply(RemoteGatherer { shards: remote.shards, replies })];
                }
                self.abandon_undelivered(&remote.shards, &not_asked);
                Vec::new()
            }
            Err(error) => self.on_gatherer_lost(remote.shards, error, remote.is_first),
        }
    }

    /// Gives up the parts that a gatherer did not bring; those that it asked nobody for may
    /// still be asked from here.
    pub(super) fn abandon_undelivered(&mut self, shards: &[usize], not_asked: &[u32]) {
        for &shard in shards {
            if !self.progress.has_part(shard) {
                self.progress.record_failure(shard);
                self.progress.abandon_shard(shard);
                if not_asked.contains(&(shard as u32)) {
                    self.skipped.push(shard);
                }
            }
        }
    }

    /// Asks targets for the parts that a gatherer will not bring.
    ///
    /// Which targets it asked is not known, so a shard with more replicas than the route allows
    /// for one request is not asked again.
    pub(super) fn on_gatherer_lost(
        &mut self,
        shards: Vec<usize>,
        error: DelegateError,
        is_first: bool,
    ) -> Vec<Next> {
        self.req.log(Code::GathererFailed, &format!("parts: {error}"));
        let may_have_run = error.may_have_run() || !is_first;
        self.result.may_have_run |= may_have_run;
        let mut attempts = Vec::new();
        for shard in shards {
            if self.progress.has_part(shard) {
                continue;
            }
            self.progress.undo_sent(shard);
            let replicas = self.core.targets.load().targets_of(&self.services[shard]).len();
            if may_have_run && replicas > self.options.limits.attempts_max {
                self.progress.abandon_shard(shard);
            } else {
                self.delivered[shard] = usize::from(may_have_run);
                attempts.extend(self.next_attempt(shard).map(Next::Attempt));
            }
        }
        attempts
    }

    /// Takes the parts of a reply; returns whether they are all parts that were asked for.
    ///
    /// The records of a reply are merged and cannot be told apart, so a reply with a part that
    /// is in already, or that nobody asked for, is of no use.
    pub(super) fn merge_reply(&mut self, shards: &[usize], reply: GatherReply) -> bool {
        let overloaded = reply.overloaded.iter().filter_map(|&at| self.services.get(at as usize));
        self.core.note_remote_overload(now(), overloaded);
        self.result.may_have_run |= reply.may_have_run;
        self.result.extra_attempts = self.result.extra_attempts.max(reply.extra);
        let is_wanted = |shard: usize| {
            shards.binary_search(&shard).is_ok()
                && self.result.remote_receipts[shard].is_none()
                && self.result.parts[shard].is_none()
        };
        if !reply.receipts.iter().all(|(shard, _)| is_wanted(*shard as usize)) {
            return false;
        }
        if reply.receipts.is_empty() {
            return true;
        }
        for (shard, receipt) in reply.receipts {
            self.progress.record_part(shard as usize);
            self.result.remote_receipts[shard as usize] = Some(receipt);
        }
        self.result.remote_records.push(reply.records);
        true
    }

    /// Hands parts over that are due, where another gatherer waits for them.
    pub(super) fn send_due_parts(&mut self) {
        if let Some(mut parts_sender) = self.result.parts_sender.take() {
            parts_sender.send_due(now(), &self.result);
            self.result.parts_sender = Some(parts_sender);
        }
    }
}
