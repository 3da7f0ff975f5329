//! Asking targets for their health.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use egret_events::Code;
use egret_policy::{HealthReport, ReplicaPhase, SnapshotPlacement};
use egret_wire::{HEALTH_PATH, TargetHealth, TargetPhase};

use crate::{Relay, service_state::ServiceState, slot::now};

/// How often owner and standbys ask a replica; its signs of life outlast two probes.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes the replicas that are due.
pub(crate) fn probe_due(relay: &Relay, service: &Arc<ServiceState>) {
    for address in service.begin_probes(now(), PROBE_INTERVAL) {
        let (relay, service) = (relay.clone(), Arc::clone(service));
        relay.traffic().clone().spawn(async move { probe(&relay, &service, address).await });
    }
}

async fn probe(relay: &Relay, service: &Arc<ServiceState>, address: SocketAddr) {
    let asked_at = now();
    let was_live = service.is_live(asked_at, address);
    let answer = relay.client().get(address, HEALTH_PATH, PROBE_TIMEOUT).await;
    let health = answer.ok().and_then(|exchange| serde_json::from_slice::<TargetHealth>(&exchange.body).ok());
    let phase = health.as_ref().map(|health| health.phase);
    service.report(asked_at, address, health.map(report));
    let is_live = service.is_live(now(), address);
    if is_live == was_live {
        return;
    }
    let code = match phase {
        _ if is_live => Code::ReplicaReady,
        Some(TargetPhase::Draining) => Code::ReplicaLeaving,
        _ => Code::ReplicaDown,
    };
    relay.journal().record(code, None, format!("{} at {address}", service.name()));
}

fn report(health: TargetHealth) -> HealthReport {
    let mut held: Vec<SnapshotPlacement> = health
        .snapshots
        .iter()
        .map(|snapshot| SnapshotPlacement { snapshot: snapshot.snapshot, placement: snapshot.placement })
        .collect();
    held.sort();
    let phase = match health.phase {
        TargetPhase::Starting => ReplicaPhase::Starting,
        TargetPhase::Ready => ReplicaPhase::Ready,
        TargetPhase::Draining => ReplicaPhase::Draining,
    };
    HealthReport { incarnation: Some(health.incarnation), phase, held }
}
