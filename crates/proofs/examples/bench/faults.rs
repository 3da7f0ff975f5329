//! The cases with faults.
//!
//! All variants of a case run one after the other with the same seed and load.

use std::{sync::Arc, time::Duration};

use egret_client::Query;
use egret_proofs::{Fleet, FleetSpec, Role, SnapshotPlan};
use egret_standin::Behaviour;
use nix::sys::signal::Signal;
use tokio::time::sleep;

use crate::{
    cases::{default_behaviour, load, plan, spec, variant_name, warm_up},
    row::{MeasurementStart, Row},
};

/// A replica crashes during the load and returns cold, without open connections.
pub(crate) async fn replica_lost() -> Vec<Row> {
    let mut rows = Vec::new();
    for baseline in ["none", "random"] {
        let fleet = Arc::new(Fleet::start(spec(10, baseline)).await);
        warm_up(&fleet, 50.0).await;
        let faulty = Arc::clone(&fleet);
        tokio::spawn(async move {
            sleep(Duration::from_secs(2)).await;
            faulty.targets[0][0].crash();
        });
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, &plan(50.0, 500)).await;
        rows.push(start.row(&fleet, "replica lost", variant_name(baseline), &report));
    }
    rows
}

/// During the load one relay is killed, then another is paused for 2 s.
pub(crate) async fn relay_lost() -> Vec<Row> {
    let fleet = Arc::new(Fleet::start(FleetSpec { hosts: 4, ..spec(10, "none") }).await);
    warm_up(&fleet, 50.0).await;
    let faulty = Arc::clone(&fleet);
    tokio::spawn(async move {
        sleep(Duration::from_secs(2)).await;
        faulty.signal(0, Role::Relay, Signal::SIGKILL);
        sleep(Duration::from_secs(2)).await;
        faulty.signal(1, Role::Relay, Signal::SIGSTOP);
        sleep(Duration::from_secs(2)).await;
        faulty.signal(1, Role::Relay, Signal::SIGCONT);
    });
    let start = MeasurementStart::now(&fleet);
    let report = load(&fleet, &plan(50.0, 500)).await;
    vec![start.row(&fleet, "relay lost", "one killed, one paused 2 s", &report)]
}

/// A request that crashes targets is sent repeatedly beside normal load.
pub(crate) async fn crashing() -> Vec<Row> {
    let behaviour = Behaviour { crash_on: Some("crash-me".to_owned()), ..default_behaviour() };
    let fleet = Arc::new(Fleet::start(FleetSpec { behaviour, ..spec(10, "none") }).await);
    warm_up(&fleet, 50.0).await;
    let crasher = Arc::clone(&fleet);
    let sender = tokio::spawn(async move {
        let query = Query::service("desk-00", "lookup", r#"{"crash-me":1}"#).expect("the query is valid");
        loop {
            let _ = crasher.client().query_once(&query).await;
            sleep(Duration::from_millis(50)).await;
        }
    });
    let start = MeasurementStart::now(&fleet);
    let report = load(&fleet, &plan(50.0, 500)).await;
    sender.abort();
    let crashes: u64 = fleet.targets.iter().flatten().map(egret_standin::Target::crashes).sum();
    vec![start.row(&fleet, "crashing request", &format!("{crashes} crashes"), &report)]
}

/// One replica of each of five services refuses all work as busy, while its health says ready.
pub(crate) async fn shedding() -> Vec<Row> {
    let mut rows = Vec::new();
    for baseline in ["none", "random"] {
        let fleet = Fleet::start(spec(10, baseline)).await;
        warm_up(&fleet, 50.0).await;
        for service in &fleet.targets[..5] {
            service[0].set(Behaviour { sheds: true, health_misleads: true, ..default_behaviour() });
        }
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, &plan(50.0, 500)).await;
        rows.push(start.row(&fleet, "shedding", variant_name(baseline), &report));
    }
    rows
}

/// Targets move to a new snapshot one by one and drop the old one.
pub(crate) async fn rolling() -> Vec<Row> {
    let fleet = Arc::new(Fleet::start(spec(10, "none")).await);
    let targets = |fleet: &Fleet| (0..fleet.spec().services).flat_map(|service| [(service, 0), (service, 1)]);
    targets(&fleet).for_each(|(service, replica)| fleet.set_snapshots(service, replica, &[1]));
    warm_up(&fleet, 50.0).await;
    let mover = Arc::clone(&fleet);
    tokio::spawn(async move {
        mover.publish(|declared| declared.snapshots.push(SnapshotPlan { id: 2, rotation: 0, shards: 1 }));
        sleep(Duration::from_secs(1)).await;
        for (service, replica) in targets(&mover) {
            mover.set_snapshots(service, replica, &[2]);
            sleep(Duration::from_millis(250)).await;
        }
    });
    let start = MeasurementStart::now(&fleet);
    let report = load(&fleet, &plan(50.0, 500)).await;
    vec![start.row(&fleet, "rolling snapshot", "each target drops the old one", &report)]
}

/// One data centre of three is lost, with the agents and relays of its hosts and with its targets.
pub(crate) async fn data_centre_lost() -> Vec<Row> {
    let fleet = Arc::new(Fleet::start(FleetSpec { hosts: 6, ..spec(10, "none") }).await);
    warm_up(&fleet, 50.0).await;
    let faulty = Arc::clone(&fleet);
    tokio::spawn(async move {
        sleep(Duration::from_secs(2)).await;
        for host in [0, 3] {
            for role in [Role::Agent, Role::Relay] {
                faulty.signal(host, role, Signal::SIGKILL);
            }
        }
        for service in &faulty.targets {
            service[0].set(Behaviour { crash_ms: 60_000, ..default_behaviour() });
            service[0].crash();
        }
    });
    let start = MeasurementStart::now(&fleet);
    // Half of the slots are lost; the load fits the other half. All entries stay, as if a balancer
    // kept callers away from lost ones.
    let report = load(&fleet, &plan(30.0, 500)).await;
    vec![start.row(&fleet, "data centre lost", "2 of 6 relays, 1 of 2 replicas each", &report)]
}

/// The Trust's service yard-assess: 20 replicas, each shard on two of them, and one straggler.
pub(crate) async fn yard_assess() -> Vec<Row> {
    let mut rows = Vec::new();
    for baseline in ["none", "random", "direct"] {
        let spec = FleetSpec { replicas: 20, shards: 40, replicas_per_shard: 2, ..spec(1, baseline) };
        let fleet = Fleet::start(spec).await;
        warm_up(&fleet, 20.0).await;
        fleet.targets[0][0].set(Behaviour { service_us: 200_000, ..default_behaviour() });
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, &plan(25.0, 1000)).await;
        rows.push(start.row(&fleet, "yard, a straggler", variant_name(baseline), &report));
    }
    rows
}
