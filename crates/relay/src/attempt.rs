//! One attempt of a sub-request: an HTTP exchange with one target.

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use egret_events::Code;
use egret_model::{Hit, Ran};
use egret_node::{ExchangeError, HttpResponse};
use egret_policy::{Completion, SnapshotPlacement};
use egret_wire::{
    CANCEL_PATH, Cancel, SEARCH_PATH, SearchReply, SearchRequest, ShardHits, TargetRefusal,
    TargetRefusalReason,
};
use tokio::sync::oneshot;

use crate::{
    gossip,
    service_state::ServiceState,
    slot::{Slot, now},
    sub_request::SubRequest,
};

/// How long a cancelled exchange keeps its slot while the target may still end it.
const CANCEL_GRACE: Duration = Duration::from_millis(500);
/// How long a target may take to answer a request to cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// A cancelled attempt that got no answer counts as a failure of the target only if it ran at least this long.
const FAILURE_RUNTIME_MIN: Duration = Duration::from_millis(20);
/// Taken off a target's time budget for sending its reply back.
const TARGET_REPLY_MARGIN: Duration = Duration::from_millis(1);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The target answered with the hits of all shards.
    Found(Vec<ShardHits>),
    /// The target refused the sub-request and did not run it.
    NotRun(TargetRefusalReason),
    /// Nothing was sent to the target.
    NotSent,
    /// The connection broke after sending began, so the target may have run the sub-request.
    Broken,
    /// The reply was malformed or did not belong to the sub-request.
    BadReply,
    /// No reply came before the deadline.
    Deadline,
    /// The target stopped it on request, because its result was no longer wanted.
    Stopped,
}

/// Why an attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CancelReason {
    /// Its deadline passed.
    DeadlinePassed,
    /// Its result is no longer wanted.
    Unwanted,
}

/// Starts an attempt; dropping the receiver cancels it.
///
/// The attempt runs in a task of its own, because it holds its slot until the target
/// is done with it, even if the result is no longer wanted.
pub(crate) fn spawn(cx: Arc<SubRequest>, slot: Slot) -> oneshot::Receiver<AttemptEnd> {
    let (tx, rx) = oneshot::channel();
    cx.tracker.record_start();
    tokio::spawn(run(cx, slot, tx));
    rx
}

async fn run(cx: Arc<SubRequest>, slot: Slot, mut tx: oneshot::Sender<AttemptEnd>) {
    let started = now();
    // The process may have been suspended since the slot was granted, or the result may be unwanted by now.
    let unwanted = started >= cx.deadline || tx.is_closed();
    if unwanted || !slot.service().is_live(started, slot.address()) {
        cx.tracker.record_end(Ran::No);
        slot.finish(Completion::Cancelled);
        let _ = tx.send(AttemptEnd::NotSent);
        return;
    }
    let address = slot.address();
    let request = cx.search_request(started);
    let client = cx.relay.client().clone();
    cx.tracker.record_sent();
    cx.relay.instruments().count_attempt();
    cx.relay.journal().record(Code::TargetSent, cx.query, format!("{} at {address}", cx.describe()));
    let within = cx.deadline.saturating_duration_since(started) + CANCEL_GRACE + CANCEL_TIMEOUT;
    let exchange = client.post_json(address, SEARCH_PATH, &request, within);
    tokio::pin!(exchange);
    let ended = tokio::select! {
        // A reply that has arrived counts, even when the deadline has passed too.
        biased;
        ended = &mut exchange => Ok(ended),
        () = tokio::time::sleep_until(cx.deadline.into()) => Err(CancelReason::DeadlinePassed),
        () = tx.closed() => Err(CancelReason::Unwanted),
    };
    let cancelled = match ended {
        Ok(ended) => {
            let end = complete(&cx, slot, &request, started, ended, None);
            let _ = tx.send(end);
            return;
        }
        Err(cancelled) => cancelled,
    };
    let _ = tx.send(AttemptEnd::Deadline);
    cx.relay.journal().record(Code::TargetCancelled, cx.query, format!("{} at {address}", cx.describe()));
    let cancel = Cancel { query: request.query, origin: request.origin, attempt: request.attempt };
    let (_, ended) = tokio::join!(
        client.post_json(address, CANCEL_PATH, &cancel, CANCEL_TIMEOUT),
        tokio::time::timeout(CANCEL_GRACE, &mut exchange),
    );
    match ended {
        Ok(ended) => {
            complete(&cx, slot, &request, started, ended, Some(cancelled));
        }
        Err(_) => {
            cx.tracker.record_end(Ran::Unknown);
            let counts_as_failure = now().saturating_duration_since(started) >= FAILURE_RUNTIME_MIN;
            slot.finish(if counts_as_failure { Completion::Failed } else { Completion::Cancelled });
        }
    }
}

/// Records how an exchange ended for the request, the target and the metrics, and frees its slot.
fn complete(
    cx: &SubRequest,
    slot: Slot,
    request: &SearchRequest,
    started: Instant,
    ended: Result<HttpResponse, ExchangeError>,
    cancelled: Option<CancelReason>,
) -> AttemptEnd {
    let address = slot.address();
    let (end, ran, completion) = match ended {
        Ok(response) => match classify_response(cx, &slot, request, started, &response) {
            // A target that was told to cancel may answer with any status.
            (AttemptEnd::BadReply, ran, _) if cancelled == Some(CancelReason::Unwanted) => {
                let ran_for = now().saturating_duration_since(started);
                (AttemptEnd::Stopped, ran, Completion::Stopped(ran_for))
            }
            classified => classified,
        },
        Err(error) if error.is_not_sent() => (AttemptEnd::NotSent, Ran::No, Completion::ConnectionLost),
        Err(ExchangeError::Timeout { .. }) => (AttemptEnd::Deadline, Ran::Unknown, Completion::Failed),
        Err(_) => {
            let record_break = |alone| cx.relay.record_break(cx.fingerprint, alone);
            slot.service().record_break(now(), address, cx.fingerprint, record_break);
            (AttemptEnd::Broken, Ran::Unknown, Completion::ConnectionLost)
        }
    };
    cx.tracker.record_end(ran);
    cx.relay.instruments().count_end(end.kind());
    let code = if matches!(end, AttemptEnd::Found(_)) { Code::TargetReplied } else { Code::TargetFailed };
    cx.relay.journal().record(code, cx.query, format!("{} from {address}", end.kind()));
    slot.finish(completion);
    end
}

/// Classifies a complete response, and records what it says about the target.
fn classify_response(
    cx: &SubRequest,
    slot: &Slot,
    request: &SearchRequest,
    started: Instant,
    response: &HttpResponse,
) -> (AttemptEnd, Ran, Completion) {
    let (service, address) = (slot.service(), slot.address());
    if response.status != 200 {
        return match serde_json::from_slice::<TargetRefusal>(&response.body) {
            Ok(TargetRefusal { reason, .. }) => {
                record_refusal(cx, slot, started, reason);
                let is_shed = reason == TargetRefusalReason::Busy;
                let completion = if is_shed { Completion::Shed } else { Completion::NotRun };
                (AttemptEnd::NotRun(reason), Ran::No, completion)
            }
            Err(_) => (AttemptEnd::BadReply, Ran::Unknown, Completion::Failed),
        };
    }
    let Ok(reply) = serde_json::from_slice::<SearchReply>(&response.body) else {
        return (AttemptEnd::BadReply, Ran::Yes, Completion::Failed);
    };
    if !is_reply_to(&reply, request) {
        cx.relay.journal().record(
            Code::ForeignReply,
            cx.query,
            format!("reply from {address} belongs to another sub-request"),
        );
        return (AttemptEnd::BadReply, Ran::Unknown, Completion::Failed);
    }
    record_draining(cx, service, started, address, reply.draining);
    cx.relay.mark_proven(cx.fingerprint);
    if slot.is_unproven() {
        service.mark_proven(now(), cx.fingerprint);
    }
    let latency = now().saturating_duration_since(started);
    cx.relay.instruments().exchange_ms.record(latency.as_secs_f64() * 1000.0, &[]);
    (AttemptEnd::Found(shard_hits(reply)), Ran::Yes, Completion::Answered(latency))
}

/// Tells whether a reply answers all shards of this request and belongs to no other request.
fn is_reply_to(reply: &SearchReply, request: &SearchRequest) -> bool {
    let echoed =
        (reply.query, reply.origin, reply.attempt) == (request.query, request.origin, request.attempt);
    let same_index = (reply.snapshot, reply.placement) == (request.snapshot, request.placement);
    let mut shards: Vec<_> = reply.shards.iter().map(|found| &found.shard).collect();
    shards.sort();
    echoed && same_index && shards.into_iter().eq(&request.shards)
}

/// Records whether a target said that it is draining; the first such sign is gossiped to the peers at once.
fn record_draining(
    cx: &SubRequest,
    service: &Arc<ServiceState>,
    started: Instant,
    address: SocketAddr,
    draining: bool,
) {
    if service.record_reply(now(), started, address, draining) {
        let detail = format!("{} at {address}", service.name());
        cx.relay.journal().record(Code::ReplicaLeaving, cx.query, detail);
        gossip::spawn_exchange(&cx.relay);
    }
}

/// Records what a target's refusal says about the target.
fn record_refusal(cx: &SubRequest, slot: &Slot, started: Instant, reason: TargetRefusalReason) {
    let (service, address) = (slot.service(), slot.address());
    match reason {
        TargetRefusalReason::Draining => record_draining(cx, service, started, address, true),
        TargetRefusalReason::Snapshot => {
            service.record_missing_snapshot(
                address,
                SnapshotPlacement { snapshot: cx.snapshot, placement: cx.placement },
            );
        }
        TargetRefusalReason::Starting => service.record_probe(now(), address, None),
        TargetRefusalReason::Busy | TargetRefusalReason::Expired => {}
    }
}

fn shard_hits(reply: SearchReply) -> Vec<ShardHits> {
    let hit = |found: egret_wire::TargetHit| Hit {
        key: found.key,
        score: found.score,
        record: String::from(Box::<str>::from(found.record)),
    };
    let shard = |found: egret_wire::TargetShardHits| ShardHits {
        shard: found.shard,
        hits: found.hits.into_iter().map(hit).collect(),
    };
    reply.shards.into_iter().map(shard).collect()
}

impl AttemptEnd {
    fn kind(&self) -> &'static str {
        match self {
            Self::Found(_) => "found",
            Self::NotRun(TargetRefusalReason::Busy) => "busy",
            Self::NotRun(TargetRefusalReason::Draining) => "draining",
            Self::NotRun(TargetRefusalReason::Starting) => "starting",
            Self::NotRun(TargetRefusalReason::Snapshot) => "snapshot",
            Self::NotRun(TargetRefusalReason::Expired) => "expired",
            Self::NotSent => "not-sent",
            Self::Broken => "broken",
            Self::BadReply => "bad-reply",
            Self::Deadline => "deadline",
            Self::Stopped => "stopped",
        }
    }
}

/// Returns the time budget of a target in milliseconds, at least 1.
pub(crate) fn target_budget_ms(now: Instant, deadline: Instant) -> u32 {
    let left = deadline.saturating_duration_since(now).saturating_sub(TARGET_REPLY_MARGIN);
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1)
}

/// Returns the replicas that were not tried yet.
pub(crate) fn untried(replicas: &[SocketAddr], tried: &[SocketAddr]) -> Vec<SocketAddr> {
    replicas.iter().filter(|address| !tried.contains(address)).copied().collect()
}
