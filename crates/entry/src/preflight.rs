//! Preflights, which ask the relays whether they would refuse a query before any part of it runs.
//!
//! Without a preflight, one relay may refuse its parts for lack of slots while others already
//! run theirs. That work is wasted, and the refusal cannot state that nothing ran. See
//! docs/DESIGN.md, "Preflight".

use std::time::Duration;

use egret_events::Code;
use egret_model::MissCause;
use egret_wire::{PREFLIGHT_PATH, PartReply, ScatterReply};
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    entry::now,
    gather::{GatherResult, Gatherer, RelayBatch, is_not_owner, shard_id},
    plan::Plan,
};

/// How long the entry waits for answers to a preflight; later ones are ignored.
const PREFLIGHT_TIMEOUT: Duration = Duration::from_millis(10);

impl Gatherer<'_> {
    /// Returns whether a preflight is worth its round trip.
    ///
    /// It is not if all shards may be missing, or if one relay decides on all parts by itself.
    /// Idempotent work can be sent again whatever ran, so it gets a preflight only where a
    /// refusal is likely.
    fn needs_preflight(&self, batches: &[RelayBatch]) -> bool {
        let plan = self.plan;
        let is_contended = || plan.parts.iter().any(|planned| self.entry.is_contended(&planned.part.service));
        batches.len() > 1
            && plan.allowed_misses() < plan.shard_count()
            && (!plan.idempotent || is_contended())
    }

    /// Asks all relays at once; returns the result of a query that they would refuse.
    pub(crate) async fn preflight(mut self) -> Option<GatherResult> {
        let batches = self.group_by_relay(self.plan.parts.clone(), 0);
        if !self.needs_preflight(&batches) {
            return None;
        }
        let left = self.plan.deadline.saturating_duration_since(now());
        let mut running: FuturesUnordered<_> =
            batches.iter().map(|batch| self.spawn_preflight(batch, left.min(PREFLIGHT_TIMEOUT))).collect();
        while let Some(answered) = running.next().await {
            let Ok(Some(reply)) = answered else { continue };
            if !self.matches_query(&reply) || misses_snapshot(&reply) {
                continue;
            }
            self.record_refusals(&reply);
            if self.is_minimum_unreachable() {
                let detail = format!("{} shards would be refused", self.gathered.coverage.missing().len());
                self.entry.journal().record(Code::PreflightRefused, self.plan.query, detail);
                return Some(self.finish(MissCause::Cancelled));
            }
        }
        None
    }

    /// Sends a preflight in a task of its own: if the query ends early, a dropped request would
    /// close its connection.
    fn spawn_preflight(
        &self,
        batch: &RelayBatch,
        within: Duration,
    ) -> tokio::task::JoinHandle<Option<ScatterReply>> {
        let (client, relay, scatter) =
            (self.entry.client().clone(), batch.relay, self.scatter_message(batch));
        self.entry.instruments().preflights.add(1, &[]);
        tokio::spawn(async move { client.post_msgpack(relay, PREFLIGHT_PATH, &scatter, within).await.ok() })
    }

    fn record_refusals(&mut self, reply: &ScatterReply) {
        self.entry.journal().clock().observe(reply.stamp);
        self.gathered.retry_after_ms = self.gathered.retry_after_ms.max(reply.retry_after_ms);
        // Parts that this relay does not own are decided on by the next candidate.
        for part in reply.parts.iter().filter(|part| !is_not_owner(part)) {
            self.record_overload(part);
            for miss in part.missing.iter().filter(|miss| is_requested(self.plan, part, &miss.shard)) {
                self.record_missing([shard_id(&part.service, &miss.shard)], miss.cause);
            }
        }
    }
}

/// Returns whether shards lack the snapshot; the query itself then tries another one.
fn misses_snapshot(reply: &ScatterReply) -> bool {
    reply.parts.iter().flat_map(|part| &part.missing).any(|miss| miss.cause == MissCause::Snapshot)
}

fn is_requested(plan: &Plan, part: &PartReply, shard: &egret_model::ShardName) -> bool {
    let planned = plan.parts.iter().find(|planned| planned.part.service == part.service);
    planned.is_some_and(|planned| planned.part.shards.binary_search(shard).is_ok())
}
