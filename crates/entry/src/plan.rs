//! Checking a query against the configuration and pinning its snapshot.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_conf::{BelowMinimum, Service};
use egret_model::{
    BlockName, ClassName, Fingerprint, QueryId, Refusal, RefusalKind, ServiceName, ShardId, ShardName,
    SnapshotId, SnapshotShards,
};
use egret_node::View;
use egret_policy::{ServiceSnapshots, choose_snapshot};
use egret_wire::{QueryRequest, ScatterPart};

use crate::{Options, snapshot_reports::SnapshotReports};

/// One service of a query, with the shards that the query asks of it.
#[derive(Clone, Debug)]
pub(crate) struct PlannedPart {
    pub(crate) block: BlockName,
    pub(crate) part: ScatterPart,
}

/// A checked query with its pinned snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) query: QueryId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) class: ClassName,
    pub(crate) body: String,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) min_coverage: f64,
    pub(crate) below_minimum: BelowMinimum,
    pub(crate) snapshot: SnapshotId,
    pub(crate) parts: Vec<PlannedPart>,
    /// Shards that the query asks but that the snapshot does not place.
    pub(crate) unplaced: Vec<ShardId>,
}

impl Plan {
    /// Returns the number of shards that the query asks.
    pub(crate) fn shards(&self) -> usize {
        self.parts.iter().map(|planned| planned.part.shards.len()).sum::<usize>() + self.unplaced.len()
    }

    /// Returns the shards that may be missing before the query is decided.
    ///
    /// A class that accepts partial answers is never decided early, because each
    /// further shard still helps its caller.
    pub(crate) fn allowed_misses(&self) -> usize {
        match self.below_minimum {
            BelowMinimum::Partial => self.shards(),
            BelowMinimum::Refuse => ((1.0 - self.min_coverage) * self.shards() as f64 + 1e-9) as usize,
        }
    }
}

/// Checks a query and plans it on the best snapshot.
///
/// # Errors
/// Refuses, as not run, what breaks the interface or is not declared.
pub(crate) fn plan(
    view: &View,
    observed: &SnapshotReports,
    options: &Options,
    now: Instant,
    query: QueryId,
    request: &QueryRequest,
) -> Result<Plan, Refusal> {
    let services = services(view, request)?;
    let terms = terms(&services, request, options)?;
    let snapshots: Vec<ServiceSnapshots> = services
        .iter()
        .map(|service| ServiceSnapshots {
            declared: declared(service),
            observed: observed.held(now, &service.name),
        })
        .collect();
    let snapshot =
        choose_snapshot(&snapshots).ok_or_else(|| not_found("the services declare no snapshot"))?;
    let mut plan = Plan {
        query,
        fingerprint: Fingerprint::of(request.class.as_str(), request.body.get()),
        class: request.class.clone(),
        body: request.body.get().to_owned(),
        idempotent: request.idempotent,
        deadline: now + terms.budget,
        min_coverage: terms.min_coverage,
        below_minimum: terms.below_minimum,
        snapshot,
        parts: Vec::new(),
        unplaced: Vec::new(),
    };
    for service in &services {
        place(&mut plan, service, request)?;
    }
    if plan.shards() > options.shards_max {
        let message = format!("the query asks {} shards, more than {}", plan.shards(), options.shards_max);
        return Err(Refusal::not_run(RefusalKind::TooLarge, message));
    }
    Ok(plan)
}

struct Terms {
    budget: Duration,
    min_coverage: f64,
    below_minimum: BelowMinimum,
}

fn not_found(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::NotFound, message)
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}

/// Lists the services that a query names, each once, sorted.
fn services(view: &View, request: &QueryRequest) -> Result<Vec<Arc<Service>>, Refusal> {
    let mut names: Vec<ServiceName> = request.services.clone();
    if let Some(group) = &request.group {
        let before = names.len();
        names.extend(view.config.group(group).map(|service| service.name.clone()));
        if names.len() == before {
            return Err(not_found(format!("group {group} is not declared")));
        }
    }
    if names.is_empty() {
        names.extend(request.shards.iter().map(|shard| shard.service.clone()));
    }
    names.sort();
    names.dedup();
    if names.is_empty() {
        return Err(bad_request("the query names no group, service or shard"));
    }
    if let Some(stray) = request.shards.iter().find(|shard| names.binary_search(&shard.service).is_err()) {
        return Err(bad_request(format!("shard {stray} is not in the services that the query names")));
    }
    let find = |name: &ServiceName| {
        view.config.service(name).cloned().ok_or_else(|| not_found(format!("service {name} is not declared")))
    };
    names.iter().map(find).collect()
}

/// Works out the terms: the caller's own, else the strictest of the services' classes.
fn terms(services: &[Arc<Service>], request: &QueryRequest, options: &Options) -> Result<Terms, Refusal> {
    let mut budget_ms = u32::MAX;
    let mut min_coverage: f64 = 0.0;
    let mut below_minimum = BelowMinimum::Partial;
    for service in services {
        let class = service.class(&request.class).ok_or_else(|| {
            not_found(format!("service {} does not declare class {}", service.name, request.class))
        })?;
        budget_ms = budget_ms.min(class.time_budget_ms);
        min_coverage = min_coverage.max(class.min_coverage);
        if class.below_minimum == BelowMinimum::Refuse {
            below_minimum = BelowMinimum::Refuse;
        }
    }
    let budget = Duration::from_millis(u64::from(request.budget_ms.unwrap_or(budget_ms)));
    if budget.is_zero() || budget > options.budget_max {
        let message = format!("budget_ms must be 1 to {}", options.budget_max.as_millis());
        return Err(bad_request(message));
    }
    let min_coverage = request.min_coverage.unwrap_or(min_coverage);
    if !(0.0..=1.0).contains(&min_coverage) {
        return Err(bad_request("min_coverage must be 0 to 1"));
    }
    Ok(Terms { budget, min_coverage, below_minimum })
}

fn declared(service: &Service) -> Vec<SnapshotShards> {
    let count = |id| service.placement_of(id).map_or(0, |placement| placement.shards.len() as u32);
    service.snapshots.iter().map(|s| SnapshotShards { snapshot: s.id, shards: count(s.id) }).collect()
}

/// Adds the asked shards of one service, as the pinned snapshot places them.
fn place(plan: &mut Plan, service: &Service, request: &QueryRequest) -> Result<(), Refusal> {
    let mut asked: Vec<ShardName> =
        request.shards.iter().filter(|s| s.service == service.name).map(|s| s.shard.clone()).collect();
    asked.sort();
    asked.dedup();
    let id = |shard: &ShardName| ShardId { service: service.name.clone(), shard: shard.clone() };
    let Some(placement) = service.placement_of(plan.snapshot) else {
        // The service has no such snapshot: its shards are asked, and missing.
        let newest =
            service.placements.last().ok_or_else(|| not_found("the service declares no placement"))?;
        let all = newest.shards.iter().map(|place| place.name.clone());
        let missing: Vec<ShardName> = if asked.is_empty() { all.collect() } else { asked };
        plan.unplaced.extend(missing.iter().map(id));
        return Ok(());
    };
    if asked.is_empty() {
        asked = placement.shards.iter().map(|place| place.name.clone()).collect();
    } else if let Some(unknown) = asked.iter().find(|shard| placement.shard(shard).is_none()) {
        return Err(not_found(format!(
            "shard {} is not declared for snapshot {}",
            id(unknown),
            plan.snapshot
        )));
    }
    let part = ScatterPart { service: service.name.clone(), placement: placement.id, shards: asked };
    plan.parts.push(PlannedPart { block: service.block.clone(), part });
    Ok(())
}
