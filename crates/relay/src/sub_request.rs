//! The shards of one message that the same replicas hold.
//!
//! A cell becomes one sub-request, so that a target runs all its shards in one
//! slot; docs/CAPACITY.md shows what a slot for each shard would cost.

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
    service_state::{ServiceState, Wanted},
    slot::{Slot, now},
};

/// How soon to look again for a free slot for a hedge.
const HEDGE_RETRY_AFTER: Duration = Duration::from_millis(5);
const TRIES_MAX: usize = 4;

/// Everything that an attempt needs to know of its cell.
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

/// Why a cell is missing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubRequestMiss {
    pub(crate) cause: MissCause,
    pub(crate) retry_after: Option<Duration>,
}

impl From<MissCause> for SubRequestMiss {
    fn from(cause: MissCause) -> Self {
        Self { cause, retry_after: None }
    }
}

impl From<Refused> for SubRequestMiss {
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
            attempt: self.relay.next_attempt(),
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

    /// Runs the cell to its end: hits for all its shards, or the cause of their absence.
    pub(crate) async fn run(self: Arc<Self>) -> Result<Vec<ShardHits>, SubRequestMiss> {
        let mut tried: Vec<SocketAddr> = Vec::new();
        let mut miss = SubRequestMiss::from(MissCause::NoLiveReplica);
        for number in 0..TRIES_MAX {
            let slot = match self.acquire(&tried).await {
                Ok(slot) => slot,
                // The first failure says more than the lack of another replica.
                Err(_) if number > 0 => return Err(miss),
                Err(refused) => return Err(refused),
            };
            if number > 0 {
                self.relay.instruments().retry();
                self.relay.journal().record(Code::RetrySent, self.query, self.describe());
            }
            let first = slot.address();
            let end = self.attempt_with_hedge(slot).await;
            miss = match end {
                AttemptEnd::Found(hits) => return Ok(hits),
                AttemptEnd::Deadline => return Err(MissCause::Deadline.into()),
                AttemptEnd::Stopped => return Err(MissCause::Cancelled.into()),
                AttemptEnd::NotSent => MissCause::NoLiveReplica.into(),
                AttemptEnd::NotRun(reason) => SubRequestMiss::from(cause_of(reason)),
                AttemptEnd::Broken => MissCause::BrokenConnection.into(),
                AttemptEnd::BadReply => MissCause::BadReply.into(),
            };
            if !self.may_try_again(&end) {
                return Err(miss);
            }
            tried.push(first);
        }
        Err(miss)
    }

    /// Tells, before anything is sent, whether the cell would be refused.
    pub(crate) fn would_refuse(&self) -> Option<SubRequestMiss> {
        let suspect = self.relay.is_suspect(self.fingerprint);
        self.service.would_refuse(self.wanted(&[], suspect)).map(SubRequestMiss::from)
    }

    /// Waits for a slot; a mark that came meanwhile puts the work to the stricter rule.
    async fn acquire(&self, tried: &[SocketAddr]) -> Result<Slot, SubRequestMiss> {
        loop {
            let suspect = self.relay.is_suspect(self.fingerprint);
            let slot = self.service.acquire(self.wanted(tried, suspect)).await?;
            if self.relay.is_poison(self.fingerprint) {
                return Err(SubRequestMiss::from(MissCause::Suspect));
            }
            if suspect || !self.relay.is_suspect(self.fingerprint) {
                return Ok(slot);
            }
        }
    }

    fn wanted(&self, tried: &[SocketAddr], suspect: bool) -> Wanted {
        let mut replicas = untried(&self.replicas, tried);
        if replicas.is_empty() && !suspect {
            replicas.clone_from(&self.replicas);
        }
        let unproven = self.relay.unproven(self.fingerprint);
        Wanted { rank: self.rank, deadline: self.deadline, replicas, suspect, unproven }
    }

    /// Sends the sub-request, and a second copy where the first is late.
    async fn attempt_with_hedge(self: &Arc<Self>, slot: Slot) -> AttemptEnd {
        let first_address = slot.address();
        let mut first = attempt::spawn(Arc::clone(self), slot);
        let delay = if self.idempotent { self.service.hedge_delay() } else { None };
        let Some(delay) = delay else { return ended(first.await) };
        tokio::select! {
            biased;
            end = &mut first => return ended(end),
            () = tokio::time::sleep(delay) => {}
        }
        let slot = loop {
            if let Some(slot) = self.hedge_slot(first_address) {
                break slot;
            }
            tokio::select! {
                biased;
                end = &mut first => return ended(end),
                () = tokio::time::sleep(HEDGE_RETRY_AFTER) => {}
            }
        };
        self.relay.instruments().hedge();
        self.relay.journal().record(Code::HedgeSent, self.query, self.describe());
        let mut second = attempt::spawn(Arc::clone(self), slot);
        tokio::select! {
            biased;
            end = &mut first => better(ended(end), second).await,
            end = &mut second => better(ended(end), first).await,
        }
    }

    /// Takes a slot for a hedge; a suspect gets none.
    fn hedge_slot(&self, first: SocketAddr) -> Option<Slot> {
        if self.relay.is_suspect(self.fingerprint) {
            return None;
        }
        self.service.hedge(&self.replicas, &[first], self.relay.unproven(self.fingerprint))
    }

    /// Tells whether another replica may be tried.
    ///
    /// Work that was certainly not run may always be; work that may have run only
    /// where it is idempotent and the budget allows.
    fn may_try_again(&self, end: &AttemptEnd) -> bool {
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

fn ended(end: Result<AttemptEnd, oneshot::error::RecvError>) -> AttemptEnd {
    end.unwrap_or(AttemptEnd::Broken)
}

/// Returns a successful end, else waits for the other attempt.
async fn better(end: AttemptEnd, other: oneshot::Receiver<AttemptEnd>) -> AttemptEnd {
    if matches!(end, AttemptEnd::Found(_)) {
        return end;
    }
    match ended(other.await) {
        found @ AttemptEnd::Found(_) => found,
        _ => end,
    }
}

fn cause_of(reason: TargetRefusalReason) -> MissCause {
    match reason {
        TargetRefusalReason::Busy | TargetRefusalReason::Draining | TargetRefusalReason::Starting => {
            MissCause::Shed
        }
        TargetRefusalReason::Snapshot => MissCause::Snapshot,
        TargetRefusalReason::Expired => MissCause::Deadline,
    }
}
