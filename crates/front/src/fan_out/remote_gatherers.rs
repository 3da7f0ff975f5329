//! Parts that other gatherers merge for this host, or this host for one of them.
//!
//! Shards without a target in the own data centre are requested from a gatherer near their
//! targets, which merges the parts before they cross between the data centres. The shares of a gather that
//! is spread over the own data centre are requested in the same way.

use std::sync::Arc;

use egret_events::Code;
use egret_policy::{RemoteShardGroup, group_remote_shards};

use super::{FanOut, FanOutEvent, Next};
use crate::{
    Mechanism,
    clock::now,
    core::Core,
    delegate::{DelegateError, call_for_parts},
    gather_call::GatherReply,
    gather_frames::FrameReader,
    gather_options::GatherOptions,
    target::Target,
    target_set::{PickFilter, TargetSet},
};

/// A reply of another gatherer, and the reader of its next one.
pub(super) struct RemoteReply {
    pub(super) gatherer: Arc<str>,
    /// All shards that the gatherer was asked for, in order.
    pub(super) shards: Vec<usize>,
    pub(super) result: Result<(GatherReply, FrameReader), DelegateError>,
    pub(super) is_first: bool,
}

/// A gatherer whose last reply has not been read yet.
pub(super) struct RemoteGatherer {
    pub(super) shards: Vec<usize>,
    pub(super) replies: FrameReader,
}

impl RemoteGatherer {
    pub(super) async fn next(self) -> FanOutEvent {
        let Self { shards, mut replies } = self;
        let gatherer = replies.gatherer_id();
        let result = replies.next().await.map(|reply| (reply, replies));
        FanOutEvent::RemoteReply(RemoteReply { gatherer, shards, result, is_first: false })
    }
}

/// Groups the services without a target in the own data centre by the data centres whose gatherers are asked for
/// them; `random` breaks ties.
pub(crate) fn remote_groups(
    core: &Core,
    targets: &TargetSet,
    services: &[Arc<str>],
    random: u64,
) -> Vec<(Arc<str>, Vec<usize>)> {
    if !core.is_enabled(Mechanism::RemoteMerging) {
        return Vec::new();
    }
    let names = targets.data_centres();
    let holders: Vec<Vec<usize>> =
        services.iter().map(|service| targets.data_centres_of(service, &names)).collect();
    let own = names.iter().position(|name| **name == *core.options.data_centre);
    let groups = group_remote_shards(&holders, own, random).into_iter();
    groups.map(|RemoteShardGroup { data_centre, shards }| (Arc::clone(&names[data_centre]), shards)).collect()
}

impl FanOut<'_> {
    /// Finds gatherers in other data centres for the shards without a target in the own one;
    /// returns each with the shards to ask it for.
    pub(super) fn remote_gatherers(&self) -> Vec<(Arc<Target>, Vec<usize>)> {
        if !self.options.may_use_remote_gatherers {
            return Vec::new();
        }
        let gatherers = self.core.gatherers_within(&self.req.homes);
        let mut found = Vec::new();
        for (data_centre, mut shards) in
            remote_groups(self.core, &self.targets(), self.services, fastrand::u64(..))
        {
            shards.retain(|&shard| !self.progress.is_abandoned(shard));
            if shards.is_empty() {
                continue;
            }
            let gatherer = gatherers.pick(now(), &[&data_centre], &[], PickFilter::NotEjected);
            found.extend(gatherer.map(|gatherer| (gatherer, shards)));
        }
        found
    }

    /// Asks another gatherer for the parts of some shards.
    pub(super) fn call_remote_gatherer(
        &mut self,
        gatherer: Arc<Target>,
        shards: Vec<usize>,
    ) -> impl Future<Output = FanOutEvent> + Send + use<> {
        for &shard in &shards {
            self.progress.record_sent(now(), shard);
            // The other gatherer sends hedges itself.
            self.progress.forbid_hedge(shard);
        }
        let options =
            GatherOptions { is_repeat: self.options.is_repeat, answer_at: self.options.limits.objective_at };
        let id = Arc::clone(&gatherer.replica.id);
        let call = call_for_parts(self.core, gatherer, self.route, self.req, &shards, options);
        let req = Arc::clone(self.req);
        async move {
            let result = async {
                // The other gatherer watches this host and not the sender of the request.
                if req.is_abandoned() {
                    return Err(DelegateError::NotSent);
                }
                let mut replies = call.await?;
                Ok((replies.next().await?, replies))
            };
            FanOutEvent::RemoteReply(RemoteReply {
                gatherer: id,
                shards,
                result: result.await,
                is_first: true,
            })
        }
    }

    /// Merges a reply of a gatherer; returns the reading of its next reply, or the attempts that
    /// replace the parts of a gatherer that failed.
    pub(super) fn on_remote_reply(&mut self, remote: RemoteReply) -> Vec<Next> {
        let RemoteReply { gatherer, shards, result, is_first } = remote;
        let (reply, replies) = match result {
            Ok(replied) => {
                self.has_answer = true;
                replied
            }
            Err(error) => return self.on_gatherer_lost(&gatherer, shards, error, is_first),
        };
        let is_last = reply.is_last;
        let not_asked = reply.not_asked.clone();
        if !self.merge_reply(&shards, reply) {
            return self.on_gatherer_lost(&gatherer, shards, DelegateError::Broken, false);
        }
        if !is_last {
            return vec![Next::RemoteReply(RemoteGatherer { shards, replies })];
        }
        self.abandon_undelivered(&shards, &not_asked);
        Vec::new()
    }

    /// Abandons the shards whose parts a gatherer did not deliver. For those in `not_asked` it sent
    /// no request to a target, so this host may still do so.
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

    /// Replaces a gatherer that failed: asks targets for the parts that it did not deliver.
    ///
    /// Which targets the gatherer sent requests to is not known. A shard with more replicas than
    /// the route's limit of attempts is therefore abandoned: further requests could exceed the limit. So are all
    /// shards of a gatherer that was waited for until the fan-out ends.
    pub(super) fn on_gatherer_lost(
        &mut self,
        gatherer: &str,
        shards: Vec<usize>,
        error: DelegateError,
        is_first: bool,
    ) -> Vec<Next> {
        let route = &self.route.name;
        let detail = format!("route {route}: gatherer {gatherer}, asked for {} parts, {error}", shards.len());
        self.req.log(Code::GathererFailed, &detail);
        let may_have_run = error.may_have_run() || !is_first;
        self.result.may_have_run |= may_have_run;
        let mut attempts = Vec::new();
        for shard in shards {
            if self.progress.has_part(shard) {
                continue;
            }
            self.progress.undo_sent(shard);
            let replicas = self.targets().targets_of(&self.services[shard]).len();
            let is_over = error == DelegateError::TimedOut;
            let must_not_repeat = !self.options.may_retry || replicas > self.options.limits.attempts_max;
            if is_over || may_have_run && must_not_repeat {
                self.progress.abandon_shard(shard);
            } else {
                self.delivered[shard] = usize::from(may_have_run);
                attempts.extend(self.next_attempt(shard).map(Next::Attempt));
            }
        }
        attempts
    }

    /// Adds the parts of a reply; returns `false` if it contains a part that was not asked for.
    ///
    /// The records of a reply are already merged and cannot be separated by shard, so a reply is
    /// rejected as a whole if it has a part that was not asked for or that arrived before.
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

    /// Sends the parts that are due to the gatherer that asked for them, if one did.
    pub(super) fn send_due_parts(&mut self) {
        if let Some(mut parts_sender) = self.result.parts_sender.take() {
            parts_sender.send_due(now(), &self.result);
            self.result.parts_sender = Some(parts_sender);
        }
    }
}
