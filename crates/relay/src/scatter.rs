//! Execution of one scatter message, which holds the parts of a query that an entry sends to this relay.

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
    sub_request::{SubRequest, SubRequestFailure},
};

/// Reserved at the end of the time budget for sending the answer back to the entry.
const ENTRY_REPLY_MARGIN: Duration = Duration::from_millis(2);
/// The rank of a class that the service does not declare: it goes last.
const UNDECLARED_CLASS_RANK: u8 = u8::MAX;

/// The result of one sub-request, with the part and the shards that it was for.
struct SubRequestResult {
    part: usize,
    shards: Vec<ShardName>,
    result: Result<Vec<ShardHits>, SubRequestFailure>,
}

/// Collects the results of a message's sub-requests.
struct ResultCollector {
    parts: Vec<PartReply>,
    allowed_misses: usize,
    misses: usize,
    retry_after: Option<Duration>,
}

impl ResultCollector {
    fn new(scatter: &Scatter) -> Self {
        Self {
            parts: scatter.parts.iter().map(empty_part).collect(),
            allowed_misses: scatter.allowed_misses as usize,
            misses: 0,
            retry_after: None,
        }
    }

    fn add_misses(
        &mut self,
        part: usize,
        shards: impl IntoIterator<Item = ShardName>,
        miss: SubRequestFailure,
    ) {
        let missing = &mut self.parts[part].missing;
        let before = missing.len();
        missing.extend(shards.into_iter().map(|shard| ShardMiss { shard, cause: miss.cause }));
        self.misses += missing.len() - before;
        self.retry_after = self.retry_after.max(miss.retry_after);
    }

    fn add(&mut self, end: SubRequestResult) {
        match end.result {
            Ok(hits) => self.parts[end.part].covered.extend(hits),
            Err(miss) => self.add_misses(end.part, end.shards, miss),
        }
    }

    /// Tells whether the query can no longer reach its minimum coverage.
    fn is_coverage_lost(&self) -> bool {
        self.misses > self.allowed_misses
    }
}

/// Runs all parts of a message.
///
/// Answers when all sub-requests have ended, the minimum coverage can no longer be
/// reached, or the time budget is used up, whichever comes first.
pub(crate) async fn answer(relay: &Relay, scatter: Scatter) -> ScatterReply {
    let deadline = deadline_of(&scatter);
    relay.journal().clock().observe(scatter.stamp);
    relay.journal().record(Code::ScatterReceived, scatter.query, format!("{} parts", scatter.parts.len()));
    scatter.mark.into_iter().for_each(|mark| relay.merge_mark(mark));
    let tracker = Arc::new(AttemptTracker::default());
    let mut results = ResultCollector::new(&scatter);
    let sub_requests = plan_sub_requests(relay, &scatter, deadline, &tracker, &mut results);
    let needed = sub_requests.len() as u32;
    let sub_requests = if is_refused_before_sending(&sub_requests, &results) {
        refuse_all(sub_requests, &mut results)
    } else {
        sub_requests
    };
    run_sub_requests(sub_requests, deadline, &mut results).await;
    let detail = format!("{} shards missing", results.misses);
    let stamp = relay.journal().record(Code::ScatterReplied, scatter.query, detail);
    reply(relay, &scatter, results, &tracker, needed, stamp)
}

/// Returns the shards of a message that would be refused now, without taking slots or sending anything.
pub(crate) fn preflight(relay: &Relay, scatter: &Scatter) -> ScatterReply {
    relay.journal().clock().observe(scatter.stamp);
    let tracker = Arc::new(AttemptTracker::default());
    let mut results = ResultCollector::new(scatter);
    let sub_requests = plan_sub_requests(relay, scatter, deadline_of(scatter), &tracker, &mut results);
    for (part, sub_request) in &sub_requests {
        if let Some(miss) = sub_request.would_refuse() {
            results.add_misses(*part, sub_request.shards.iter().cloned(), miss);
        }
    }
    let stamp = relay.journal().clock().tick();
    reply(relay, scatter, results, &tracker, sub_requests.len() as u32, stamp)
}

fn deadline_of(scatter: &Scatter) -> Instant {
    let budget = Duration::from_millis(u64::from(scatter.budget_ms));
    now() + budget.saturating_sub(ENTRY_REPLY_MARGIN)
}

fn reply(
    relay: &Relay,
    scatter: &Scatter,
    mut results: ResultCollector,
    tracker: &AttemptTracker,
    needed: u32,
    stamp: Stamp,
) -> ScatterReply {
    for part in &mut results.parts {
        part.covered.sort_by(|a, b| a.shard.cmp(&b.shard));
        part.missing.sort();
        part.missing.iter().for_each(|miss| relay.instruments().count_misses(miss.cause, 1));
        part.held =
            relay.service(&part.service).map(|state| state.count_held_shards(now())).unwrap_or_default();
    }
    ScatterReply {
        query: scatter.query,
        origin: scatter.origin,
        stamp,
        snapshot: scatter.snapshot,
        ran: tracker.ran(),
        mark: relay.export_mark(scatter.fingerprint),
        retry_after_ms: results.retry_after.map(|after| after.as_millis() as u64),
        leaving: relay.is_leaving(),
        attempts: tracker.sent_attempts(),
        needed,
        parts: results.parts,
    }
}

/// Tells whether so many sub-requests would be refused now that the query cannot reach its minimum coverage.
///
/// Such a query must not load targets with its other sub-requests.
fn is_refused_before_sending(sub_requests: &[(usize, Arc<SubRequest>)], results: &ResultCollector) -> bool {
    let refused = sub_requests.iter().filter(|(_, sub_request)| sub_request.would_refuse().is_some());
    let shards: usize = refused.map(|(_, sub_request)| sub_request.shards.len()).sum();
    results.misses + shards > results.allowed_misses
}

/// Records the shards of all sub-requests as missing.
///
/// The cause is the refusal that a sub-request would get, or cancellation if it would get none.
fn refuse_all(
    sub_requests: Vec<(usize, Arc<SubRequest>)>,
    results: &mut ResultCollector,
) -> Vec<(usize, Arc<SubRequest>)> {
    for (part, sub_request) in sub_requests {
        let miss = sub_request.would_refuse().unwrap_or(MissCause::Cancelled.into());
        results.add_misses(part, sub_request.shards.iter().cloned(), miss);
    }
    Vec::new()
}

/// Runs the sub-requests until all have ended, the coverage is lost or the deadline passes.
async fn run_sub_requests(
    sub_requests: Vec<(usize, Arc<SubRequest>)>,
    deadline: Instant,
    results: &mut ResultCollector,
) {
    let mut pending: Vec<(usize, Vec<ShardName>)> =
        sub_requests.iter().map(|(part, sub_request)| (*part, sub_request.shards.clone())).collect();
    let mut running: FuturesUnordered<_> = sub_requests
        .into_iter()
        .map(|(part, sub_request)| async move {
            let shards = sub_request.shards.clone();
            SubRequestResult { part, shards, result: sub_request.run().await }
        })
        .collect();
    let mut cause = MissCause::Deadline;
    loop {
        if results.is_coverage_lost() {
            cause = MissCause::Cancelled;
            break;
        }
        tokio::select! {
            // Results that have arrived count, even when the deadline has passed too.
            biased;
            end = running.next() => match end {
                Some(end) => {
                    pending.retain(|(part, shards)| (*part, shards) != (end.part, &end.shards));
                    results.add(end);
                }
                None => break,
            },
            () = tokio::time::sleep_until(deadline.into()) => break,
        }
    }
    for (part, shards) in pending {
        results.add_misses(part, shards, cause.into());
    }
}

fn empty_part(part: &ScatterPart) -> PartReply {
    PartReply { service: part.service.clone(), covered: Vec::new(), missing: Vec::new(), held: Vec::new() }
}

/// Divides the parts into sub-requests and records shards that cannot be requested as missing.
fn plan_sub_requests(
    relay: &Relay,
    scatter: &Scatter,
    deadline: Instant,
    tracker: &Arc<AttemptTracker>,
    results: &mut ResultCollector,
) -> Vec<(usize, Arc<SubRequest>)> {
    let mut sub_requests = Vec::new();
    let Ok(body) = RawValue::from_string(scatter.body.clone()) else {
        add_all_as_missing(scatter, results, MissCause::BadReply);
        return sub_requests;
    };
    let body: Arc<RawValue> = Arc::from(body);
    if relay.is_poison(scatter.fingerprint) {
        add_all_as_missing(scatter, results, MissCause::Suspect);
        return sub_requests;
    }
    for (index, part) in scatter.parts.iter().enumerate() {
        // Until the relay has probed all targets and has asked its peers for their suspects and leaving
        // targets, it declines the work, and the entry turns to the next candidate.
        let Some(state) =
            relay.service(&part.service).filter(|state| state.is_fully_probed() && relay.has_asked_peers())
        else {
            results.add_misses(index, part.shards.iter().cloned(), MissCause::NotOwner.into());
            continue;
        };
        let service = state.service();
        let held = SnapshotPlacement { snapshot: scatter.snapshot, placement: part.placement };
        for group in group_by_replicas(&state, part, held, index, results) {
            let context = SubRequest {
                relay: relay.clone(),
                tracker: Arc::clone(tracker),
                service: Arc::clone(&state),
                query: scatter.query,
                fingerprint: scatter.fingerprint,
                class: scatter.class.clone(),
                rank: service.class(&scatter.class).map_or(UNDECLARED_CLASS_RANK, |class| class.rank),
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

/// Shards that the same replicas hold.
struct ShardGroup {
    replicas: Vec<SocketAddr>,
    shards: Vec<ShardName>,
}

/// Groups the shards of a part by the replicas that hold them and records shards without a replica as missing.
fn group_by_replicas(
    state: &ServiceState,
    part: &ScatterPart,
    held: SnapshotPlacement,
    index: usize,
    results: &mut ResultCollector,
) -> Vec<ShardGroup> {
    let mut groups: Vec<ShardGroup> = Vec::new();
    for shard in &part.shards {
        let cause = match state.holders(shard, held) {
            None => MissCause::Snapshot,
            Some(holders) if holders.holding.is_empty() && holders.any_reported => MissCause::Snapshot,
            Some(holders) if holders.holding.is_empty() => MissCause::NoLiveReplica,
            Some(holders) => {
                match groups.binary_search_by(|group| group.replicas.cmp(&holders.holding)) {
                    Ok(at) => groups[at].shards.push(shard.clone()),
                    Err(at) => {
                        let group = ShardGroup { replicas: holders.holding, shards: vec![shard.clone()] };
                        groups.insert(at, group);
                    }
                }
                continue;
            }
        };
        results.add_misses(index, [shard.clone()], cause.into());
    }
    groups.iter_mut().for_each(|group| group.shards.sort());
    groups
}

fn add_all_as_missing(scatter: &Scatter, results: &mut ResultCollector, cause: MissCause) {
    for (index, part) in scatter.parts.iter().enumerate() {
        results.add_misses(index, part.shards.iter().cloned(), cause.into());
    }
}

/// Returns the state of a service from a list sorted by name.
pub(crate) fn find_service(services: &[Arc<ServiceState>], name: &ServiceName) -> Option<Arc<ServiceState>> {
    let at = services.binary_search_by(|state| state.name().cmp(name)).ok()?;
    Some(Arc::clone(&services[at]))
}
