//! Asking the relays whether a query would be refused, before any part of it runs.
//!
//! A query over several relays is refused by the one that has no room, while the
//! others have begun to run theirs: that wastes copies, and the refusal cannot say
//! that nothing ran. See docs/DESIGN.md, "Preflight".

use std::time::Duration;

use egret_events::Code;
use egret_model::MissCause;
use egret_wire::{PREFLIGHT_PATH, PartReply, ScatterReply};
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    entry::now,
    gather::{Gathered, Gatherer, Routed, is_not_owner, shard_id},
    plan::Plan,
};

/// Within this time relays say whether they would refuse; a later word is not waited for.
const PREFLIGHT_TIMEOUT: Duration = Duration::from_millis(10);

impl Gatherer<'_> {
    /// Tells whether a preflight is worth its round trip.
    ///
    /// It is not where missing parts are accepted anyway, and where one relay decides
    /// over all parts by itself. Idempotent work can be sent again whatever ran, so
    /// it is asked for only where a refusal is likely.
    fn wants_preflight(&self, routes: &[Routed]) -> bool {
        let plan = self.plan;
        let is_contended = || plan.parts.iter().any(|planned| self.entry.is_contended(&planned.part.service));
        routes.len() > 1 && plan.allowed_misses() < plan.shards() && (!plan.idempotent || is_contended())
    }

    /// Asks all relays at once; returns the end of a query that they would refuse.
    pub(crate) async fn preflight(mut self) -> Option<Gathered> {
        let routes = self.route(self.plan.parts.clone(), 0);
        if !self.wants_preflight(&routes) {
            return None;
        }
        let left = self.plan.deadline.saturating_duration_since(now());
        let mut running: FuturesUnordered<_> =
            routes.iter().map(|routed| self.spawn_question(routed, left.min(PREFLIGHT_TIMEOUT))).collect();
        while let Some(answered) = running.next().await {
            let Ok(Some(reply)) = answered else { continue };
            if !self.belongs(&reply) || misses_snapshot(&reply) {
                continue;
            }
            self.take_preflight(&reply);
            if self.is_decided() {
                let detail = format!("{} shards would be refused", self.gathered.coverage.missing().len());
                self.entry.journal().record(Code::PreflightRefused, self.plan.query, detail);
                return Some(self.end(MissCause::Cancelled));
            }
        }
        None
    }

    /// Runs on its own, so that an early end does not cost the connection.
    fn spawn_question(
        &self,
        routed: &Routed,
        within: Duration,
    ) -> tokio::task::JoinHandle<Option<ScatterReply>> {
        let (client, relay, scatter) = (self.entry.client().clone(), routed.relay, self.scatter(routed));
        self.entry.instruments().preflights.add(1, &[]);
        tokio::spawn(async move { client.post_msgpack(relay, PREFLIGHT_PATH, &scatter, within).await.ok() })
    }

    fn take_preflight(&mut self, reply: &ScatterReply) {
        self.entry.journal().clock().observe(reply.stamp);
        self.gathered.retry_after_ms = self.gathered.retry_after_ms.max(reply.retry_after_ms);
        // The next candidate decides over parts that this relay does not own.
        for part in reply.parts.iter().filter(|part| !is_not_owner(part)) {
            self.note_contention(part);
            for miss in part.missing.iter().filter(|miss| is_asked(self.plan, part, &miss.shard)) {
                self.miss([shard_id(&part.service, &miss.shard)], miss.cause);
            }
        }
    }
}

/// Tells whether another snapshot may do, which only the query's own run finds out.
fn misses_snapshot(reply: &ScatterReply) -> bool {
    reply.parts.iter().flat_map(|part| &part.missing).any(|miss| miss.cause == MissCause::Snapshot)
}

fn is_asked(plan: &Plan, part: &PartReply, shard: &egret_model::ShardName) -> bool {
    let planned = plan.parts.iter().find(|planned| planned.part.service == part.service);
    planned.is_some_and(|planned| planned.part.shards.binary_search(shard).is_ok())
}
