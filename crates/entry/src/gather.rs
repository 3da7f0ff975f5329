//! Asking the relays and merging what they answer.

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

/// The time that a relay's answer takes on its way.
const RELAY_MARGIN: Duration = Duration::from_millis(2);

/// What the relays answered to one plan.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    pub(crate) coverage: Coverage,
    pub(crate) hits: Vec<Hit>,
    pub(crate) ran: Ran,
    pub(crate) mark: Option<SuspectMark>,
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) attempts: u32,
    pub(crate) needed: u32,
    /// Whether the minimum coverage could not be reached, so that gathering ended early.
    pub(crate) decided_early: bool,
}

/// Parts on their way to one relay.
struct Sent {
    relay: SocketAddr,
    /// The candidate that is asked, counted from the best.
    candidate: usize,
    parts: Vec<PlannedPart>,
    result: Result<ScatterReply, RelayFailure>,
}

/// Why a relay did not answer.
enum RelayFailure {
    /// The exchange failed.
    Exchange(ExchangeError),
    /// The relay showed no sign of life.
    Silent,
}

impl RelayFailure {
    fn is_not_sent(&self) -> bool {
        matches!(self, Self::Exchange(error) if error.is_not_sent())
    }
}

/// Parts with the candidate to ask next.
pub(crate) struct Routed {
    pub(crate) relay: SocketAddr,
    candidate: usize,
    parts: Vec<PlannedPart>,
    /// The later candidates of each part.
    others: Vec<Vec<SocketAddr>>,
}

impl Routed {
    /// Tells whether every part has another candidate that is believed to be up.
    fn can_move(&self, entry: &Entry) -> bool {
        self.others.iter().all(|others| others.iter().any(|relay| entry.is_relay_up(*relay)))
    }
}

pub(crate) struct Gatherer<'a> {
    pub(crate) entry: &'a Entry,
    view: Arc<View>,
    pub(crate) plan: &'a Plan,
    pub(crate) gathered: Gathered,
    running: FuturesUnordered<BoxFuture<'a, Sent>>,
    pending: Vec<ShardId>,
}

impl<'a> Gatherer<'a> {
    pub(crate) fn new(entry: &'a Entry, view: Arc<View>, plan: &'a Plan) -> Self {
        let mut gathered = Gathered::default();
        for shard in &plan.unplaced {
            gathered.coverage.miss(shard.clone(), MissCause::Snapshot);
        }
        let mut pending: Vec<ShardId> = plan.parts.iter().flat_map(shard_ids).collect();
        pending.sort();
        Self { entry, view, plan, gathered, running: FuturesUnordered::new(), pending }
    }

    /// Asks all relays and returns when all answered, when the minimum coverage
    /// cannot be reached any more, or when the time ends.
    pub(crate) async fn gather(mut self) -> Gathered {
        self.send(self.plan.parts.clone(), 0);
        let mut cause = MissCause::Deadline;
        loop {
            if self.is_decided() {
                cause = MissCause::Cancelled;
                break;
            }
            tokio::select! {
                biased;
                sent = self.running.next() => match sent {
                    Some(sent) => self.take(sent),
                    None => break,
                },
                () = tokio::time::sleep_until(self.plan.deadline.into()) => break,
            }
        }
        if !self.pending.is_empty() {
            // Messages are on their way, and nobody said what became of them.
            self.gathered.ran = self.gathered.ran.combine(Ran::Unknown);
        }
        self.end(cause)
    }

    /// Tells whether the minimum coverage cannot be reached any more.
    pub(crate) fn is_decided(&self) -> bool {
        self.gathered.coverage.missing().len() > self.plan.allowed_misses()
    }

    /// Counts all pending shards as missing and returns what was gathered.
    pub(crate) fn end(mut self, cause: MissCause) -> Gathered {
        self.gathered.decided_early = self.is_decided();
        for shard in std::mem::take(&mut self.pending) {
            self.gathered.coverage.miss(shard, cause);
        }
        self.gathered.hits.sort_by(Hit::answer_order);
        self.gathered
    }

    /// Sends parts to the candidates of their blocks, from the given candidate on.
    fn send(&mut self, parts: Vec<PlannedPart>, from: usize) {
        for routed in self.route(parts, from) {
            let scatter = self.scatter(&routed);
            self.running.push(Box::pin(exchange(self.entry, self.plan, routed, scatter)));
        }
    }

    /// Groups parts by relay, so that each relay gets one message.
    pub(crate) fn route(&mut self, parts: Vec<PlannedPart>, from: usize) -> Vec<Routed> {
        let mut routes: Vec<Routed> = Vec::new();
        for part in parts {
            let Some((relay, candidate)) = self.choose_relay(&part, from) else {
                self.miss(shard_ids(&part), MissCause::NoRelay);
                continue;
            };
            let others = self.candidates_after(&part, candidate);
            let key = (relay, candidate);
            match routes.binary_search_by(|routed| (routed.relay, routed.candidate).cmp(&key)) {
                Ok(at) => {
                    routes[at].parts.push(part);
                    routes[at].others.push(others);
                }
                Err(at) => {
                    let routed = Routed { relay, candidate, parts: vec![part], others: vec![others] };
                    routes.insert(at, routed);
                }
            }
        }
        routes
    }

    /// Returns the first candidate, from `from` on, that is believed to be up.
    ///
    /// Where all are believed to be down, the first is asked all the same: the
    /// belief may be old, and not asking is sure to miss.
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

    pub(crate) fn scatter(&self, routed: &Routed) -> Scatter {
        let plan = self.plan;
        let left = plan.deadline.saturating_duration_since(now()).saturating_sub(RELAY_MARGIN);
        let missing = self.gathered.coverage.missing().len();
        let detail = format!("{} parts to {}", routed.parts.len(), routed.relay);
        Scatter {
            query: plan.query,
            origin: self.entry.incarnation(),
            stamp: self.entry.journal().record(Code::ScatterSent, plan.query, detail),
            fingerprint: plan.fingerprint,
            mark: self.entry.mark(plan.fingerprint),
            class: plan.class.clone(),
            budget_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            idempotent: plan.idempotent,
            body: plan.body.clone(),
            snapshot: plan.snapshot,
            allowed_misses: plan.allowed_misses().saturating_sub(missing) as u32,
            parts: routed.parts.iter().map(|planned| planned.part.clone()).collect(),
        }
    }

    fn take(&mut self, sent: Sent) {
        let Sent { relay, candidate, parts, result } = sent;
        match result {
            Ok(reply) if self.belongs(&reply) => {
                self.entry.relay_answered(relay, reply.leaving);
                self.take_reply(reply, parts, candidate);
            }
            Ok(_) => {
                self.entry.journal().record(Code::ForeignReply, self.plan.query, "");
                self.gathered.ran = self.gathered.ran.combine(Ran::Unknown);
                self.miss_parts(&parts, MissCause::BadReply);
            }
            Err(failure) => {
                if let RelayFailure::Exchange(error) = &failure {
                    self.entry.relay_failed(relay, error);
                }
                self.take_failure(&failure, parts, candidate);
            }
        }
    }

    pub(crate) fn belongs(&self, reply: &ScatterReply) -> bool {
        reply.query == self.plan.query
            && reply.origin == self.entry.incarnation()
            && reply.snapshot == self.plan.snapshot
    }

    /// Asks the next candidate where the work was not run or may run twice.
    fn take_failure(&mut self, failure: &RelayFailure, parts: Vec<PlannedPart>, candidate: usize) {
        let not_run = failure.is_not_sent();
        if !not_run {
            self.gathered.ran = self.gathered.ran.combine(Ran::Unknown);
        }
        if now() >= self.plan.deadline {
            self.miss_parts(&parts, MissCause::Deadline);
        } else if not_run || self.plan.idempotent {
            self.send(parts, candidate + 1);
        } else {
            self.miss_parts(&parts, MissCause::NoRelay);
        }
    }

    fn take_reply(&mut self, reply: ScatterReply, parts: Vec<PlannedPart>, candidate: usize) {
        self.entry.journal().clock().observe(reply.stamp);
        self.gathered.ran = self.gathered.ran.combine(reply.ran);
        self.gathered.mark = self.gathered.mark.into_iter().chain(reply.mark).max_by_key(|mark| mark.breaks);
        self.gathered.retry_after_ms = self.gathered.retry_after_ms.max(reply.retry_after_ms);
        self.gathered.attempts += reply.attempts;
        self.gathered.needed += reply.needed;
        let mut elsewhere: Vec<PlannedPart> = Vec::new();
        for planned in parts {
            let answered = reply.parts.iter().find(|part| part.service == planned.part.service);
            let Some(part) = answered else {
                self.miss(shard_ids(&planned), MissCause::BadReply);
                continue;
            };
            if is_not_owner(part) {
                elsewhere.push(planned);
                continue;
            }
            self.entry.observe(&part.service, part.held.clone());
            self.note_contention(part);
            self.take_part(&planned, part);
        }
        if !elsewhere.is_empty() {
            self.send(elsewhere, candidate + 1);
        }
    }

    /// Remembers a service that refused work for lack of slots.
    pub(crate) fn note_contention(&self, part: &PartReply) {
        let is_full = |cause| matches!(cause, MissCause::Overload | MissCause::Shed);
        if part.missing.iter().any(|miss| is_full(miss.cause)) {
            self.entry.contended(&part.service);
        }
    }

    /// Merges one part; only shards that the plan asked of it count.
    fn take_part(&mut self, planned: &PlannedPart, part: &PartReply) {
        let asked = |shard: &ShardName| planned.part.shards.binary_search(shard).is_ok();
        for found in part.covered.iter().filter(|found| asked(&found.shard)) {
            let shard = shard_id(&part.service, &found.shard);
            self.settle(&shard);
            if self.gathered.coverage.cover(shard) {
                self.gathered.hits.extend(found.hits.iter().cloned());
            }
        }
        for miss in part.missing.iter().filter(|miss| asked(&miss.shard)) {
            self.miss([shard_id(&part.service, &miss.shard)], miss.cause);
        }
        for shard in shard_ids(planned) {
            if self.pending.binary_search(&shard).is_ok() {
                self.miss([shard], MissCause::BadReply);
            }
        }
    }

    fn miss_parts(&mut self, parts: &[PlannedPart], cause: MissCause) {
        for part in parts {
            self.miss(shard_ids(part), cause);
        }
    }

    pub(crate) fn miss(&mut self, shards: impl IntoIterator<Item = ShardId>, cause: MissCause) {
        for shard in shards {
            self.settle(&shard);
            self.gathered.coverage.miss(shard, cause);
        }
    }

    fn settle(&mut self, shard: &ShardId) {
        if let Ok(at) = self.pending.binary_search(shard) {
            self.pending.remove(at);
        }
    }
}

async fn exchange(entry: &Entry, plan: &Plan, routed: Routed, scatter: Scatter) -> Sent {
    let within = plan.deadline.saturating_duration_since(now());
    entry.instruments().scatters.add(1, &[]);
    let answer = entry.client().post_msgpack(routed.relay, SCATTER_PATH, &scatter, within);
    tokio::pin!(answer);
    let early = tokio::select! {
        biased;
        answer = &mut answer => Some(answer),
        () = wait_until_unresponsive(entry, routed.relay) => None,
    };
    let result = match early {
        Some(answer) => answer.map_err(RelayFailure::Exchange),
        None => {
            entry.relay_silent(routed.relay);
            if plan.idempotent && routed.can_move(entry) {
                Err(RelayFailure::Silent)
            } else {
                // Its work may still run, and must not run elsewhere, or nobody else can run it.
                answer.await.map_err(RelayFailure::Exchange)
            }
        }
    };
    Sent { relay: routed.relay, candidate: routed.candidate, parts: routed.parts, result }
}

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
