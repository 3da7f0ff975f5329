//! A sub-request: the shards of one message that the same replicas hold.
//!
//! They go to a target together, so that it runs them all in one slot;
//! docs/CAPACITY.md shows what a slot for each shard would cost.

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use egret_events::Code;
use egret_model::{
    ClassName, Fingerprint, MissCause, PlacementId, QueryId, ServiceName, ShardName, SnapshotId,
};
use egret_policy::Refused;
use egret_wire::{SearchRequest, ShardHits, TargetRefusalReason};
use serde_json::value::RawValue;
use tokio::sync::oneshot;

use crate::{
    Relay,
    attempt::{self, AttemptEnd, target_budget_ms, untried},
    attempt_tracker::AttemptTracker,
    service_state::{ServiceState, SlotRequest},
    slot::{Slot, now},
};

/// The interval at which a late attempt checks for a slot for its hedge.
const HEDGE_SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Attempts of a sub-request, retries included and hedges not.
const TRIES_MAX: usize = 4;

/// The shards to request, the replicas that hold them and the context that all attempts share.
#[derive(Debug)]
pub(crate) struct SubRequest {
    pub(crate) relay: Relay,
    pub(crate) tracker: Arc<AttemptTracker>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) query: QueryId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) class: ClassName,
    pub(crate) rank: u8,
    pub(crate) snapshot: SnapshotId,
    pub(crate) placement: PlacementId,
    pub(crate) shards: Vec<ShardName>,
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) idempotent: bool,
    pub(crate) body: Arc<RawValue>,
    pub(crate) deadline: Instant,
}

/// Why a sub-request did not cover its shards, and when a retry by the caller makes sense.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubRequestFailure {
    pub(crate) cause: MissCause,
    pub(crate) retry_after: Option<Duration>,
}

impl From<MissCause> for SubRequestFailure {
    fn from(cause: MissCause) -> Self {
        Self { cause, retry_after: None }
    }
}

impl From<Refused> for SubRequestFailure {
    fn from(refused: Refused) -> Self {
        Self { cause: refused.cause, retry_after: Some(refused.retry_after) }
    }
}

impl SubRequest {
    pub(crate) fn service_name(&self) -> &ServiceName {
        self.service.name()
    }

    pub(crate) fn describe(&self) -> String {
        format!("{} ({} shards)", self.service_name(), self.shards.len())
    }

    pub(crate) fn search_request(&self, now: Instant) -> SearchRequest {
        SearchRequest {
            query: self.query,
            origin: self.relay.incarnation(),
            attempt: self.relay.next_attempt_id(),
            service: self.service_name().clone(),
            snapshot: self.snapshot,
            placement: self.placement,
            shards: self.shards.clone(),
            class: self.class.clone(),
            budget_ms: target_budget_ms(now, self.deadline),
            idempotent: self.idempotent,
            body: (*self.body).to_owned(),
        }
    }

    /// Returns the hits of all shards, or why none are covered; retries on other replicas where that is safe.
    pub(crate) async fn run(self: Arc<Self>) -> Result<Vec<ShardHits>, SubRequestFailure> {
        let mut tried: Vec<SocketAddr> = Vec::new();
        let mut miss = SubRequestFailure::from(MissCause::NoLiveReplica);
        for number in 0..TRIES_MAX {
            let slot = match self.acquire(&tried).await {
                Ok(slot) => slot,
                // The failure of the last attempt says more than the refusal of a slot for another one.
                Err(_) if number > 0 => return Err(miss),
                Err(refused) => return Err(refused),
            };
            if number > 0 {
                self.relay.instruments().count_retry();
                self.relay.journal().record(Code::RetrySent, self.query, self.describe());
            }
            let first_address = slot.address();
            let end = self.attempt_with_hedge(slot).await;
            miss = match end {
                AttemptEnd::Found(hits) => return Ok(hits),
                AttemptEnd::Deadline => return Err(MissCause::Deadline.into()),
                AttemptEnd::Stopped => return Err(MissCause::Cancelled.into()),
                AttemptEnd::NotSent => MissCause::NoLiveReplica.into(),
                AttemptEnd::NotRun(reason) => SubRequestFailure::from(miss_cause(reason)),
                AttemptEnd::Broken => MissCause::BrokenConnection.into(),
                AttemptEnd::BadReply => MissCause::BadReply.into(),
            };
            if !self.may_retry(&end) {
                return Err(miss);
            }
            tried.push(first_address);
        }
        Err(miss)
    }

    /// Returns the refusal that the sub-request would get now, without sending anything.
    pub(crate) fn would_refuse(&self) -> Option<SubRequestFailure> {
        let suspect = self.relay.is_suspect(self.fingerprint);
        self.service.would_refuse(self.slot_request(&[], suspect)).map(SubRequestFailure::from)
    }

    /// Waits for a slot; if the request became a suspect meanwhile, queues again under the rule for suspects.
    async fn acquire(&self, tried: &[SocketAddr]) -> Result<Slot, SubRequestFailure> {
        loop {
            let suspect = self.relay.is_suspect(self.fingerprint);
            let slot = self.service.acquire(self.slot_request(tried, suspect)).await?;
            if self.relay.is_poison(self.fingerprint) {
                return Err(SubRequestFailure::from(MissCause::Suspect));
            }
            if suspect || !self.relay.is_suspect(self.fingerprint) {
                return Ok(slot);
            }
        }
    }

    /// Requests any untried replica; a request that is not a suspect may return to tried ones if none is left.
    fn slot_request(&self, tried: &[SocketAddr], suspect: bool) -> SlotRequest {
        let mut replicas = untried(&self.replicas, tried);
        if replicas.is_empty() && !suspect {
            replicas.clone_from(&self.replicas);
        }
        let unproven = self.relay.unproven(self.fingerprint);
        SlotRequest { rank: self.rank, deadline: self.deadline, replicas, suspect, unproven }
    }

    /// Sends the sub-request, and a hedge to another replica if the first attempt is late.
    async fn attempt_with_hedge(self: &Arc<Self>, slot: Slot) -> AttemptEnd {
        let first_address = slot.address();
        let mut first = attempt::spawn(Arc::clone(self), slot);
        let delay = if self.idempotent { self.service.hedge_delay() } else { None };
        let Some(delay) = delay else { return attempt_end(first.await) };
        tokio::select! {
            biased;
            end = &mut first => return attempt_end(end),
            () = tokio::time::sleep(delay) => {}
        }
        let slot = loop {
            if let Some(slot) = self.hedge_slot(first_address) {
                break slot;
            }
            tokio::select! {
                biased;
                end = &mut first => return attempt_end(end),
                () = tokio::time::sleep(HEDGE_SLOT_POLL_INTERVAL) => {}
            }
        };
        self.relay.instruments().count_hedge();
        self.relay.journal().record(Code::HedgeSent, self.query, self.describe());
        let mut second = attempt::spawn(Arc::clone(self), slot);
        tokio::select! {
            biased;
            end = &mut first => prefer_found(attempt_end(end), second).await,
            end = &mut second => prefer_found(attempt_end(end), first).await,
        }
    }

    /// Takes a slot for a hedge; a suspect gets none, as it could break a second replica.
    fn hedge_slot(&self, first_address: SocketAddr) -> Option<Slot> {
        if self.relay.is_suspect(self.fingerprint) {
            return None;
        }
        self.service.hedge(&self.replicas, &[first_address], self.relay.unproven(self.fingerprint))
    }

    /// Tells whether another attempt may be sent, and spends the retry budget where it applies.
    ///
    /// A target that may have run the sub-request, or refused it as busy, costs budget. Work
    /// that may have run is repeated only if it is idempotent. Work that was certainly not run
    /// may otherwise be sent again, unless its time has expired.
    fn may_retry(&self, end: &AttemptEnd) -> bool {
        if now() >= self.deadline {
            return false;
        }
        match end {
            AttemptEnd::Found(_) | AttemptEnd::Deadline | AttemptEnd::Stopped => false,
            AttemptEnd::NotSent => true,
            AttemptEnd::NotRun(TargetRefusalReason::Busy) => self.service.try_retry(),
            AttemptEnd::NotRun(TargetRefusalReason::Expired) => false,
            AttemptEnd::NotRun(_) => true,
            AttemptEnd::Broken | AttemptEnd::BadReply => self.idempotent && self.service.try_retry(),
        }
    }
}

/// Treats an attempt whose task ended without a result as a broken connection: the target may have run it.
fn attempt_end(end: Result<AttemptEnd, oneshot::error::RecvError>) -> AttemptEnd {
    end.unwrap_or(AttemptEnd::Broken)
}

/// Returns `end` if it has hits, else the end of the other attempt if that has hits, else `end`.
async fn prefer_found(end: AttemptEnd, other: oneshot::Receiver<AttemptEnd>) -> AttemptEnd {
    if matches!(end, AttemptEnd::Found(_)) {
        return end;
    }
    match attempt_end(other.await) {
        found @ AttemptEnd::Found(_) => found,
        _ => end,
    }
}

fn miss_cause(reason: TargetRefusalReason) -> MissCause {
    match reason {
        TargetRefusalReason::Busy | TargetRefusalReason::Draining | TargetRefusalReason::Starting => {
            MissCause::Shed
        }
        TargetRefusalReason::Snapshot => MissCause::Snapshot,
        TargetRefusalReason::Expired => MissCause::Deadline,
    }
}
