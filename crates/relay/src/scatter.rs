//! Answering one message of an entry.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, Stamp};
use egret_model::{MissCause, ServiceName, ShardName};
use egret_policy::SnapshotPlacement;
use egret_wire::{PartReply, Scatter, ScatterPart, ScatterReply, ShardHits, ShardMiss};
use futures_util::{StreamExt, stream::FuturesUnordered};
use serde_json::value::RawValue;

use crate::{
    Relay,
    attempt_tracker::AttemptTracker,
    service_state::ServiceState,
    slot::now,
    sub_request::{SubRequest, SubRequestMiss},
};

/// The time that the answer takes on its way back to the entry.
const REPLY_MARGIN: Duration = Duration::from_millis(2);
const RANK_UNKNOWN: u8 = u8::MAX;

/// The end of one cell.
struct SubRequestEnd {
    part: usize,
    shards: Vec<ShardName>,
    result: Result<Vec<ShardHits>, SubRequestMiss>,
}

/// A message while its cells run.
struct Gathering {
    parts: Vec<PartReply>,
    allowed_misses: usize,
    misses: usize,
    retry_after: Option<Duration>,
}

impl Gathering {
    fn begin(scatter: &Scatter) -> Self {
        Self {
            parts: scatter.parts.iter().map(empty_part).collect(),
            allowed_misses: scatter.allowed_misses as usize,
            misses: 0,
            retry_after: None,
        }
    }

    fn miss(&mut self, part: usize, shards: impl IntoIterator<Item = ShardName>, miss: SubRequestMiss) {
        let missing = &mut self.parts[part].missing;
        let before = missing.len();
        missing.extend(shards.into_iter().map(|shard| ShardMiss { shard, cause: miss.cause }));
        self.misses += missing.len() - before;
        self.retry_after = self.retry_after.max(miss.retry_after);
    }

    fn take(&mut self, end: SubRequestEnd) {
        match end.result {
            Ok(hits) => self.parts[end.part].covered.extend(hits),
            Err(miss) => self.miss(end.part, end.shards, miss),
        }
    }

    /// Tells whether the entry's minimum coverage can no longer be reached.
    fn is_decided(&self) -> bool {
        self.misses > self.allowed_misses
    }
}

/// Runs all parts of a message and answers when they ended, when the minimum
/// coverage cannot be reached any more, or when the time ends.
pub(crate) async fn answer(relay: &Relay, scatter: Scatter) -> ScatterReply {
    let deadline = deadline_of(&scatter);
    relay.journal().clock().observe(scatter.stamp);
    relay.journal().record(Code::ScatterReceived, scatter.query, format!("{} parts", scatter.parts.len()));
    scatter.mark.into_iter().for_each(|mark| relay.merge_mark(mark));
    let tracker = Arc::new(AttemptTracker::default());
    let mut gathering = Gathering::begin(&scatter);
    let sub_requests = plan_sub_requests(relay, &scatter, deadline, &tracker, &mut gathering);
    let needed = sub_requests.len() as u32;
    let sub_requests = if is_refused_ahead(&sub_requests, &gathering) {
        refuse_all(sub_requests, &mut gathering)
    } else {
        sub_requests
    };
    gather(sub_requests, deadline, &mut gathering).await;
    let detail = format!("{} missing", gathering.misses);
    let stamp = relay.journal().record(Code::ScatterReplied, scatter.query, detail);
    reply(relay, &scatter, gathering, &tracker, needed, stamp)
}

/// Tells which parts of a message would be refused now, without taking or sending anything.
pub(crate) fn preflight(relay: &Relay, scatter: &Scatter) -> ScatterReply {
    relay.journal().clock().observe(scatter.stamp);
    let tracker = Arc::new(AttemptTracker::default());
    let mut gathering = Gathering::begin(scatter);
    let sub_requests = plan_sub_requests(relay, scatter, deadline_of(scatter), &tracker, &mut gathering);
    for (part, sub_request) in &sub_requests {
        if let Some(miss) = sub_request.would_refuse() {
            gathering.miss(*part, sub_request.shards.iter().cloned(), miss);
        }
    }
    let stamp = relay.journal().clock().tick();
    reply(relay, scatter, gathering, &tracker, sub_requests.len() as u32, stamp)
}

fn deadline_of(scatter: &Scatter) -> Instant {
    let budget = Duration::from_millis(u64::from(scatter.budget_ms));
    now() + budget.saturating_sub(REPLY_MARGIN)
}

fn reply(
    relay: &Relay,
    scatter: &Scatter,
    mut gathering: Gathering,
    tracker: &AttemptTracker,
    needed: u32,
    stamp: Stamp,
) -> ScatterReply {
    for part in &mut gathering.parts {
        part.covered.sort_by(|a, b| a.shard.cmp(&b.shard));
        part.missing.sort();
        part.missing.iter().for_each(|miss| relay.instruments().misses(miss.cause, 1));
        part.held =
            relay.service(&part.service).map(|state| state.count_held_shards(now())).unwrap_or_default();
    }
    ScatterReply {
        query: scatter.query,
        origin: scatter.origin,
        stamp,
        snapshot: scatter.snapshot,
        ran: tracker.ran(),
        mark: relay.mark_of(scatter.fingerprint),
        retry_after_ms: gathering.retry_after.map(|after| after.as_millis() as u64),
        leaving: relay.is_leaving(),
        attempts: tracker.attempts(),
        needed,
        parts: gathering.parts,
    }
}

/// Tells whether the refusals that are known before anything is sent decide the query.
///
/// A query that cannot reach its minimum coverage must not spend copies on the rest.
fn is_refused_ahead(sub_requests: &[(usize, Arc<SubRequest>)], gathering: &Gathering) -> bool {
    let refused = sub_requests.iter().filter(|(_, sub_request)| sub_request.would_refuse().is_some());
    let shards: usize = refused.map(|(_, sub_request)| sub_request.shards.len()).sum();
    gathering.misses + shards > gathering.allowed_misses
}

/// Turns all cells into misses, each with its own cause or as cancelled.
fn refuse_all(
    sub_requests: Vec<(usize, Arc<SubRequest>)>,
    gathering: &mut Gathering,
) -> Vec<(usize, Arc<SubRequest>)> {
    for (part, sub_request) in sub_requests {
        let miss = sub_request.would_refuse().unwrap_or(MissCause::Cancelled.into());
        gathering.miss(part, sub_request.shards.iter().cloned(), miss);
    }
    Vec::new()
}

async fn gather(sub_requests: Vec<(usize, Arc<SubRequest>)>, deadline: Instant, gathering: &mut Gathering) {
    let mut pending: Vec<(usize, Vec<ShardName>)> =
        sub_requests.iter().map(|(part, sub_request)| (*part, sub_request.shards.clone())).collect();
    let mut running: FuturesUnordered<_> = sub_requests
        .into_iter()
        .map(|(part, sub_request)| async move {
            let shards = sub_request.shards.clone();
            SubRequestEnd { part, shards, result: sub_request.run().await }
        })
        .collect();
    let mut cause = MissCause::Deadline;
    loop {
        if gathering.is_decided() {
            cause = MissCause::Cancelled;
            break;
        }
        tokio::select! {
            // A reply that is there counts, also at the very end.
            biased;
            end = running.next() => match end {
                Some(end) => {
                    pending.retain(|(part, shards)| (*part, shards) != (end.part, &end.shards));
                    gathering.take(end);
                }
                None => break,
            },
            () = tokio::time::sleep_until(deadline.into()) => break,
        }
    }
    for (part, shards) in pending {
        gathering.miss(part, shards, cause.into());
    }
}

fn empty_part(part: &ScatterPart) -> PartReply {
    PartReply { service: part.service.clone(), covered: Vec::new(), missing: Vec::new(), held: Vec::new() }
}

/// Divides the parts into cells; shards that cannot be asked become misses.
fn plan_sub_requests(
    relay: &Relay,
    scatter: &Scatter,
    deadline: Instant,
    tracker: &Arc<AttemptTracker>,
    gathering: &mut Gathering,
) -> Vec<(usize, Arc<SubRequest>)> {
    let mut sub_requests = Vec::new();
    let Ok(body) = RawValue::from_string(scatter.body.clone()) else {
        miss_all(scatter, gathering, MissCause::BadReply);
        return sub_requests;
    };
    let body: Arc<RawValue> = Arc::from(body);
    if relay.is_poison(scatter.fingerprint) {
        miss_all(scatter, gathering, MissCause::Suspect);
        return sub_requests;
    }
    for (index, part) in scatter.parts.iter().enumerate() {
        // A relay that does not know its targets, or what others know of them, leaves the work to the next candidate.
        let Some(state) =
            relay.service(&part.service).filter(|state| state.is_fully_probed() && relay.has_asked_peers())
        else {
            gathering.miss(index, part.shards.iter().cloned(), MissCause::NotOwner.into());
            continue;
        };
        let service = state.service();
        let held = SnapshotPlacement { snapshot: scatter.snapshot, placement: part.placement };
        for group in group_by_replicas(&state, part, held, index, gathering) {
            let context = SubRequest {
                relay: relay.clone(),
                tracker: Arc::clone(tracker),
                service: Arc::clone(&state),
                query: scatter.query,
                fingerprint: scatter.fingerprint,
                class: scatter.class.clone(),
                rank: service.class(&scatter.class).map_or(RANK_UNKNOWN, |class| class.rank),
                snapshot: scatter.snapshot,
                placement: part.placement,
                shards: group.shards,
                replicas: group.replicas,
                idempotent: scatter.idempotent,
                body: Arc::clone(&body),
                deadline,
            };
            sub_requests.push((index, Arc::new(context)));
        }
    }
    sub_requests
}

struct Group {
    replicas: Vec<SocketAddr>,
    shards: Vec<ShardName>,
}

fn group_by_replicas(
    state: &ServiceState,
    part: &ScatterPart,
    held: SnapshotPlacement,
    index: usize,
    gathering: &mut Gathering,
) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for shard in &part.shards {
        let cause = match state.holders(shard, held) {
            None => MissCause::Snapshot,
            Some(holders) if holders.holding.is_empty() && holders.known => MissCause::Snapshot,
            Some(holders) if holders.holding.is_empty() => MissCause::NoLiveReplica,
            Some(holders) => {
                match groups.binary_search_by(|group| group.replicas.cmp(&holders.holding)) {
                    Ok(at) => groups[at].shards.push(shard.clone()),
                    Err(at) => {
                        let group = Group { replicas: holders.holding, shards: vec![shard.clone()] };
                        groups.insert(at, group);
                    }
                }
                continue;
            }
        };
        gathering.miss(index, [shard.clone()], cause.into());
    }
    groups.iter_mut().for_each(|group| group.shards.sort());
    groups
}

fn miss_all(scatter: &Scatter, gathering: &mut Gathering, cause: MissCause) {
    for (index, part) in scatter.parts.iter().enumerate() {
        gathering.miss(index, part.shards.iter().cloned(), cause.into());
    }
}

/// Finds a service's state in a sorted list.
pub(crate) fn find_service(services: &[Arc<ServiceState>], name: &ServiceName) -> Option<Arc<ServiceState>> {
    let at = services.binary_search_by(|state| state.name().cmp(name)).ok()?;
    Some(Arc::clone(&services[at]))
}
