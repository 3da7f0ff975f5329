//! One exchange with one target.

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

/// For how long a cancelled exchange may keep its slot until the target ends it.
const CANCEL_GRACE: Duration = Duration::from_millis(500);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Below this, an attempt that found no answer says nothing about the target.
const FAILURE_MIN: Duration = Duration::from_millis(20);
/// The time that a reply takes on its way back.
const RETURN_MARGIN: Duration = Duration::from_millis(1);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The target answered for these shards.
    Found(Vec<ShardHits>),
    /// The target said that it did not run it.
    NotRun(TargetRefusalReason),
    /// No byte left.
    NotSent,
    /// The connection broke while the target may have run it.
    Broken,
    /// The target answered nonsense.
    BadReply,
    /// The time ended.
    Deadline,
    /// The target stopped it, because nobody waited any more.
    Stopped,
}

/// Why an attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cancelled {
    /// Its time ended.
    Late,
    /// Nobody waits for it any more.
    Unwanted,
}

/// Starts an attempt; dropping the receiver cancels it.
///
/// The attempt runs on its own, because its slot stays taken until the target is
/// done with it, also when nobody waits for the answer any more.
pub(crate) fn spawn(cx: Arc<SubRequest>, slot: Slot) -> oneshot::Receiver<AttemptEnd> {
    let (tx, rx) = oneshot::channel();
    cx.tracker.begin();
    tokio::spawn(drive(cx, slot, tx));
    rx
}

async fn drive(cx: Arc<SubRequest>, slot: Slot, mut tx: oneshot::Sender<AttemptEnd>) {
    let started = now();
    // The process may have slept since the slot was granted, or nobody may wait any more.
    let unwanted = started >= cx.deadline || tx.is_closed();
    if unwanted || !slot.service().is_live(started, slot.address()) {
        cx.tracker.ended(Ran::No);
        slot.finish(Completion::Cancelled);
        let _ = tx.send(AttemptEnd::NotSent);
        return;
    }
    let address = slot.address();
    let request = cx.search_request(started);
    let client = cx.relay.client().clone();
    cx.tracker.sent();
    cx.relay.instruments().attempt();
    cx.relay.journal().record(Code::TargetSent, cx.query, format!("{} at {address}", cx.describe()));
    let within = cx.deadline.saturating_duration_since(started) + CANCEL_GRACE + CANCEL_TIMEOUT;
    let exchange = client.post_json(address, SEARCH_PATH, &request, within);
    tokio::pin!(exchange);
    let ended = tokio::select! {
        // A reply that is there counts, also at the very end.
        biased;
        ended = &mut exchange => Ok(ended),
        () = tokio::time::sleep_until(cx.deadline.into()) => Err(Cancelled::Late),
        () = tx.closed() => Err(Cancelled::Unwanted),
    };
    let cancelled = match ended {
        Ok(ended) => {
            let end = settle(&cx, slot, &request, started, ended, None);
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
            settle(&cx, slot, &request, started, ended, Some(cancelled));
        }
        Err(_) => {
            cx.tracker.ended(Ran::Unknown);
            let silent = now().saturating_duration_since(started) >= FAILURE_MIN;
            slot.finish(if silent { Completion::Failed } else { Completion::Cancelled });
        }
    }
}

/// Judges an ended exchange and frees its slot.
fn settle(
    cx: &SubRequest,
    slot: Slot,
    request: &SearchRequest,
    started: Instant,
    ended: Result<HttpResponse, ExchangeError>,
    cancelled: Option<Cancelled>,
) -> AttemptEnd {
    let address = slot.address();
    let (end, ran, finish) = match ended {
        Ok(exchange) => match judge(cx, &slot, request, started, &exchange) {
            // The target did as it was told, and may do it with any status.
            (AttemptEnd::BadReply, ran, _) if cancelled == Some(Cancelled::Unwanted) => {
                let ran_for = now().saturating_duration_since(started);
                (AttemptEnd::Stopped, ran, Completion::Stopped(ran_for))
            }
            judged => judged,
        },
        Err(error) if error.is_not_sent() => (AttemptEnd::NotSent, Ran::No, Completion::ConnectionLost),
        Err(ExchangeError::Timeout { .. }) => (AttemptEnd::Deadline, Ran::Unknown, Completion::Failed),
        Err(_) => {
            let mark = |alone| cx.relay.mark(cx.fingerprint, alone);
            slot.service().note_break(now(), address, cx.fingerprint, mark);
            (AttemptEnd::Broken, Ran::Unknown, Completion::ConnectionLost)
        }
    };
    cx.tracker.ended(ran);
    cx.relay.instruments().end(end.kind());
    let code = if matches!(end, AttemptEnd::Found(_)) { Code::TargetReplied } else { Code::TargetFailed };
    cx.relay.journal().record(code, cx.query, format!("{} from {address}", end.kind()));
    slot.finish(finish);
    end
}

fn judge(
    cx: &SubRequest,
    slot: &Slot,
    request: &SearchRequest,
    started: Instant,
    exchange: &HttpResponse,
) -> (AttemptEnd, Ran, Completion) {
    let (service, address) = (slot.service(), slot.address());
    if exchange.status != 200 {
        return match serde_json::from_slice::<TargetRefusal>(&exchange.body) {
            Ok(TargetRefusal { reason, .. }) => {
                learn_not_run(cx, slot, started, reason);
                let is_shed = reason == TargetRefusalReason::Busy;
                let finish = if is_shed { Completion::Shed } else { Completion::NotRun };
                (AttemptEnd::NotRun(reason), Ran::No, finish)
            }
            Err(_) => (AttemptEnd::BadReply, Ran::Unknown, Completion::Failed),
        };
    }
    let Ok(reply) = serde_json::from_slice::<SearchReply>(&exchange.body) else {
        return (AttemptEnd::BadReply, Ran::Yes, Completion::Failed);
    };
    if !answers(&reply, request) {
        cx.relay.journal().record(Code::ForeignReply, cx.query, format!("from {address}"));
        return (AttemptEnd::BadReply, Ran::Unknown, Completion::Failed);
    }
    take_word(cx, service, started, address, reply.draining);
    cx.relay.prove(cx.fingerprint);
    if slot.is_unproven() {
        service.prove(now(), cx.fingerprint);
    }
    let latency = now().saturating_duration_since(started);
    cx.relay.instruments().exchange_ms.record(latency.as_secs_f64() * 1000.0, &[]);
    (AttemptEnd::Found(shard_hits(reply)), Ran::Yes, Completion::Answered(latency))
}

/// Tells whether a reply is the whole answer to this request and to nothing else.
fn answers(reply: &SearchReply, request: &SearchRequest) -> bool {
    let echoed =
        (reply.query, reply.origin, reply.attempt) == (request.query, request.origin, request.attempt);
    let same_index = (reply.snapshot, reply.placement) == (request.snapshot, request.placement);
    let mut shards: Vec<_> = reply.shards.iter().map(|found| &found.shard).collect();
    shards.sort();
    echoed && same_index && shards.into_iter().eq(&request.shards)
}

/// Takes a target's word on whether it leaves; the first sign goes to the other candidates at once.
fn take_word(
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

fn learn_not_run(cx: &SubRequest, slot: &Slot, started: Instant, reason: TargetRefusalReason) {
    let (service, address) = (slot.service(), slot.address());
    match reason {
        TargetRefusalReason::Draining => take_word(cx, service, started, address, true),
        TargetRefusalReason::Snapshot => {
            service.record_missing_snapshot(
                address,
                SnapshotPlacement { snapshot: cx.snapshot, placement: cx.placement },
            );
        }
        TargetRefusalReason::Starting => service.report(now(), address, None),
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

/// Returns the time that a target gets, in milliseconds.
pub(crate) fn target_budget_ms(now: Instant, deadline: Instant) -> u32 {
    let left = deadline.saturating_duration_since(now).saturating_sub(RETURN_MARGIN);
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1)
}

/// Leaves out the replicas that were tried.
pub(crate) fn untried(replicas: &[SocketAddr], tried: &[SocketAddr]) -> Vec<SocketAddr> {
    replicas.iter().filter(|address| !tried.contains(address)).copied().collect()
}
