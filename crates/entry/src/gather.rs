//! Scattering a planned query over the relays and merging their answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use egret_events::Code;
use egret_model::{Coverage, Hit, MissCause, Ran, ServiceName, ShardId, ShardName, SuspectMark};
use egret_node::{ExchangeError, View};
use egret_wire::{PartReply, SCATTER_PATH, Scatter, ScatterReply};
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};

use crate::{
    Entry,
    plan::{Plan, PlannedPart},
    relay_liveness::wait_until_unresponsive,
};

/// The part of the time budget that is reserved for the transmission of a relay's answer.
const RELAY_REPLY_MARGIN: Duration = Duration::from_millis(2);

/// The merged answers of the relays to one plan.
#[derive(Debug, Default)]
pub(crate) struct GatherResult {
    pub(crate) coverage: Coverage,
    pub(crate) hits: Vec<Hit>,
    pub(crate) ran: Ran,
    /// The mark with the most broken connections that a relay reported for the request.
    pub(crate) mark: Option<SuspectMark>,
    pub(crate) retry_after_ms: Option<u64>,
    /// The number of sub-requests sent, including hedges and retries.
    pub(crate) attempts: u32,
    /// The number of sub-requests that the parts need without any hedge or retry.
    pub(crate) needed: u32,
    /// Whether too many shards are missing for the minimum coverage, so that gathering ended early.
    pub(crate) is_minimum_unreachable: bool,
}

/// The result of sending one message to a relay.
struct RelayResult {
    relay: SocketAddr,
    /// The rank of the relay among the owner candidates of its parts, 0 for the best.
    candidate: usize,
    parts: Vec<PlannedPart>,
    result: Result<ScatterReply, RelayFailure>,
}

/// Why a relay did not answer.
enum RelayFailure {
    /// The HTTP exchange failed.
    Exchange(ExchangeError),
    /// The relay answered neither queries nor a liveness check.
    Unresponsive,
}

impl RelayFailure {
    fn is_not_sent(&self) -> bool {
        matches!(self, Self::Exchange(error) if error.is_not_sent())
    }
}

/// The parts of a query that one relay gets in one message.
pub(crate) struct RelayBatch {
    pub(crate) relay: SocketAddr,
    candidate: usize,
    parts: Vec<PlannedPart>,
    /// The owner candidates after this relay, for each part.
    later_candidates: Vec<Vec<SocketAddr>>,
}

impl RelayBatch {
    /// Returns whether every part has a later candidate that counts as up.
    fn can_fail_over(&self, entry: &Entry) -> bool {
        self.later_candidates
            .iter()
            .all(|candidates| candidates.iter().any(|relay| entry.is_relay_up(*relay)))
    }
}

/// Scatters one plan and merges the answers.
pub(crate) struct Gatherer<'a> {
    pub(crate) entry: &'a Entry,
    view: Arc<View>,
    pub(crate) plan: &'a Plan,
    pub(crate) gathered: GatherResult,
    running: FuturesUnordered<BoxFuture<'a, RelayResult>>,
    /// The shards that are neither covered nor missing yet, sorted.
    pending: Vec<ShardId>,
}

impl<'a> Gatherer<'a> {
    pub(crate) fn new(entry: &'a Entry, view: Arc<View>, plan: &'a Plan) -> Self {
        let mut gathered = GatherResult::default();
        for shard in &plan.unplaced {
            gathered.coverage.miss(shard.clone(), MissCause::Snapshot);
        }
        let mut pending: Vec<ShardId> = plan.parts.iter().flat_map(shard_ids).collect();
        pending.sort();
        Self { entry, view, plan, gathered, running: FuturesUnordered::new(), pending }
    }

    /// Sends the parts to their relays; returns when all relays answered, when the minimum
    /// coverage cannot be reached any more, or at the deadline.
    pub(crate) async fn gather(mut self) -> GatherResult {
        self.send_parts(self.plan.parts.clone(), 0);
        let mut cause = MissCause::Deadline;
        loop {
            if self.is_minimum_unreachable() {
                cause = MissCause::Cancelled;
                break;
            }
            tokio::select! {
                biased;
                sent = self.running.next() => match sent {
                    Some(sent) => self.handle_result(sent),
                    None => break,
                },
                () = tokio::time::sleep_until(self.plan.deadline.into()) => break,
            }
        }
        if !self.pending.is_empty() {
            // Some relays have not answered, so it is not known whether their parts ran.
            self.gathered.ran = self.gathered.ran.combine(Ran::Unknown);
        }
        self.finish(cause)
    }

    /// Returns whether the minimum coverage cannot be reached any more.
    pub(crate) fn is_minimum_unreachable(&self) -> bool {
        self.gathered.coverage.missing().len() > self.plan.allowed_misses()
    }

    /// Counts all pending shards as missing and returns the result.
    pub(crate) fn finish(mut self, cause: MissCause) -> GatherResult {
        self.gathered.is_minimum_unreachable = self.is_minimum_unreachable();
        for shard in std::mem::take(&mut self.pending) {
            self.gathered.coverage.miss(shard, cause);
        }
        self.gathered.hits.sort_by(Hit::answer_order);
        self.gathered
    }

    /// Sends each part to the first suitable owner candidate of its block with rank `from` or later.
    fn send_parts(&mut self, parts: Vec<PlannedPart>, from: usize) {
        for batch in self.group_by_relay(parts, from) {
            let scatter = self.scatter_message(&batch);
            self.running.push(Box::pin(send_to_relay(self.entry, self.plan, batch, scatter)));
        }
    }

    /// Groups parts by relay, so that each relay gets one message.
    pub(crate) fn group_by_relay(&mut self, parts: Vec<PlannedPart>, from: usize) -> Vec<RelayBatch> {
        let mut batches: Vec<RelayBatch> = Vec::new();
        for part in parts {
            let Some((relay, candidate)) = self.choose_relay(&part, from) else {
                self.record_missing(shard_ids(&part), MissCause::NoRelay);
                continue;
            };
            let later_candidates = self.candidates_after(&part, candidate);
            let key = (relay, candidate);
            match batches.binary_search_by(|batch| (batch.relay, batch.candidate).cmp(&key)) {
                Ok(at) => {
                    batches[at].parts.push(part);
                    batches[at].later_candidates.push(later_candidates);
                }
                Err(at) => {
                    let batch = RelayBatch {
                        relay,
                        candidate,
                        parts: vec![part],
                        later_candidates: vec![later_candidates],
                    };
                    batches.insert(at, batch);
                }
            }
        }
        batches
    }

    /// Returns the first owner candidate with rank `from` or later that counts as up.
    ///
    /// If all count as down, the first one is chosen nevertheless: its state may be out of date,
    /// and without a message its shards are certainly missing.
    fn choose_relay(&self, part: &PlannedPart, from: usize) -> Option<(SocketAddr, usize)> {
        if let Some(relay) = self.entry.options().bench_relay {
            return (from == 0).then_some((relay, 0));
        }
        let block = self.view.block(&part.block)?;
        let up = |(_, relay): &(usize, &egret_policy::RelayHost)| self.entry.is_relay_up(relay.relay);
        let listed = || block.candidates().iter().enumerate().skip(from);
        let (candidate, relay) = listed().find(up).or_else(|| listed().next())?;
        Some((relay.relay, candidate))
    }

    fn candidates_after(&self, part: &PlannedPart, candidate: usize) -> Vec<SocketAddr> {
        let Some(block) = self.view.block(&part.block) else { return Vec::new() };
        block.candidates().iter().skip(candidate + 1).map(|other| other.relay).collect()
    }

    pub(crate) fn scatter_message(&self, batch: &RelayBatch) -> Scatter {
        let plan = self.plan;
        let left = plan.deadline.saturating_duration_since(now()).saturating_sub(RELAY_REPLY_MARGIN);
        let missing = self.gathered.coverage.missing().len();
        let detail = format!("{} parts to {}", batch.parts.len(), batch.relay);
        Scatter {
            query: plan.query,
            origin: self.entry.incarnation(),
            stamp: self.entry.journal().record(Code::ScatterSent, plan.query, detail),
            fingerprint: plan.fingerprint,
            mark: self.entry.suspect_mark(plan.fingerprint),
            class: plan.class.clone(),
            budget_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            idempotent: plan.idempotent,
            body: plan.body.clone(),
            snapshot: plan.snapshot,
            allowed_misses: plan.allowed_misses().saturating_sub(missing) as u32,
            parts: batch.parts.iter().map(|planned| planned.part.clone()).collect(),
        }
    }

    fn handle_result(&mut self, sent: RelayResult) {
        let RelayResult { relay, candidate, parts, result } = sent;
        match result {
            Ok(reply) if self.matches_query(&reply) => {
                self.entry.record_relay_answer(relay, reply.leaving);
                self.handle_reply(reply, parts, candidate);
            }
            Ok(_) => {
                self.entry.journal().record(Code::ForeignReply, self.plan.query, "");
                self.gathered.ran = self.gathered.ran.combine(Ran::Unknown);
                self.record_parts_missing(&parts, MissCause::BadReply);
            }
            Err(failure) => {
                if let RelayFailure::Exchange(error) = &failure {
                    self.entry.record_relay_failure(relay, error);
                }
                self.handle_failure(&failure, parts, candidate);
            }
        }
    }

    /// Returns whether a reply belongs to this run of the query and to its snapshot.
    pub(crate) fn matches_query(&self, reply: &ScatterReply) -> bool {
        reply.query == self.plan.query
            && reply.origin == self.entry.incarnation()
            && reply.snapshot == self.plan.snapshot
    }

    /// Sends the parts to the next candidate if they did not run or may run twice.
    fn handle_failure(&mut self, failure: &RelayFailure, parts: Vec<PlannedPart>, candidate: usize) {
        let not_run = failure.is_not_sent();
        if !not_run {
            self.gathered.ran = self.gathered.ran.combine(Ran::Unknown);
        }
        if now() >= self.plan.deadline {
            self.record_parts_missing(&parts, MissCause::Deadline);
        } else if not_run || self.plan.idempotent {
            self.send_parts(parts, candidate + 1);
        } else {
            self.record_parts_missing(&parts, MissCause::NoRelay);
        }
    }

    fn handle_reply(&mut self, reply: ScatterReply, parts: Vec<PlannedPart>, candidate: usize) {
        self.entry.journal().clock().observe(reply.stamp);
        self.gathered.ran = self.gathered.ran.combine(reply.ran);
        self.gathered.mark = self.gathered.mark.into_iter().chain(reply.mark).max_by_key(|mark| mark.breaks);
        self.gathered.retry_after_ms = self.gathered.retry_after_ms.max(reply.retry_after_ms);
        self.gathered.attempts += reply.attempts;
        self.gathered.needed += reply.needed;
        let mut not_owned: Vec<PlannedPart> = Vec::new();
        for planned in parts {
            let answered = reply.parts.iter().find(|part| part.service == planned.part.service);
            let Some(part) = answered else {
                self.record_missing(shard_ids(&planned), MissCause::BadReply);
                continue;
            };
            if is_not_owner(part) {
                not_owned.push(planned);
                continue;
            }
            self.entry.record_held_snapshots(&part.service, part.held.clone());
            self.record_overload(part);
            self.merge_part(&planned, part);
        }
        if !not_owned.is_empty() {
            self.send_parts(not_owned, candidate + 1);
        }
    }

    /// Records the service as overloaded if it refused work for lack of slots.
    pub(crate) fn record_overload(&self, part: &PartReply) {
        let is_full = |cause| matches!(cause, MissCause::Overload | MissCause::Shed);
        if part.missing.iter().any(|miss| is_full(miss.cause)) {
            self.entry.record_overload(&part.service);
        }
    }

    /// Merges the answer to one part, and ignores shards that were not requested with it.
    fn merge_part(&mut self, planned: &PlannedPart, part: &PartReply) {
        let requested = |shard: &ShardName| planned.part.shards.binary_search(shard).is_ok();
        for found in part.covered.iter().filter(|found| requested(&found.shard)) {
            let shard = shard_id(&part.service, &found.shard);
            self.remove_pending(&shard);
            if self.gathered.coverage.cover(shard) {
                self.gathered.hits.extend(found.hits.iter().cloned());
            }
        }
        for miss in part.missing.iter().filter(|miss| requested(&miss.shard)) {
            self.record_missing([shard_id(&part.service, &miss.shard)], miss.cause);
        }
        for shard in shard_ids(planned) {
            if self.pending.binary_search(&shard).is_ok() {
                self.record_missing([shard], MissCause::BadReply);
            }
        }
    }

    fn record_parts_missing(&mut self, parts: &[PlannedPart], cause: MissCause) {
        for part in parts {
            self.record_missing(shard_ids(part), cause);
        }
    }

    pub(crate) fn record_missing(&mut self, shards: impl IntoIterator<Item = ShardId>, cause: MissCause) {
        for shard in shards {
            self.remove_pending(&shard);
            self.gathered.coverage.miss(shard, cause);
        }
    }

    fn remove_pending(&mut self, shard: &ShardId) {
        if let Ok(at) = self.pending.binary_search(shard) {
            self.pending.remove(at);
        }
    }
}

async fn send_to_relay(entry: &Entry, plan: &Plan, batch: RelayBatch, scatter: Scatter) -> RelayResult {
    let within = plan.deadline.saturating_duration_since(now());
    entry.instruments().scatters.add(1, &[]);
    let answer = entry.client().post_msgpack(batch.relay, SCATTER_PATH, &scatter, within);
    tokio::pin!(answer);
    let early = tokio::select! {
        biased;
        answer = &mut answer => Some(answer),
        () = wait_until_unresponsive(entry, batch.relay) => None,
    };
    let result = match early {
        Some(answer) => answer.map_err(RelayFailure::Exchange),
        None => {
            entry.record_relay_unresponsive(batch.relay);
            if plan.idempotent && batch.can_fail_over(entry) {
                Err(RelayFailure::Unresponsive)
            } else {
                // The parts may still run here. Either they must not run twice, or no other relay is up.
                answer.await.map_err(RelayFailure::Exchange)
            }
        }
    };
    RelayResult { relay: batch.relay, candidate: batch.candidate, parts: batch.parts, result }
}

/// Returns whether a relay did not run a part because another relay owns its block.
pub(crate) fn is_not_owner(part: &PartReply) -> bool {
    part.covered.is_empty()
        && !part.missing.is_empty()
        && part.missing.iter().all(|miss| miss.cause == MissCause::NotOwner)
}

pub(crate) fn shard_id(service: &ServiceName, shard: &ShardName) -> ShardId {
    ShardId { service: service.clone(), shard: shard.clone() }
}

fn shard_ids(planned: &PlannedPart) -> Vec<ShardId> {
    planned.part.shards.iter().map(|shard| shard_id(&planned.part.service, shard)).collect()
}

fn now() -> std::time::Instant {
    tokio::time::Instant::now().into_std()
}
