//! Promise 1: every answer is drawn from one snapshot of the index.
//!
//! While targets move to a new snapshot one by one, different replicas hold different
//! snapshots; an answer could mix them or miss shards.

use std::time::Duration;

use egret_proofs::{Fleet, FleetSpec, SnapshotPlan, assert_valid_answer};
use tokio::time::sleep;

/// Targets move to a repartitioned snapshot one by one while queries run.
#[tokio::test(flavor = "multi_thread")]
async fn answers_never_mix_snapshots_while_targets_move() {
    let spec = FleetSpec { services: 3, replicas: 2, shards: 4, ..FleetSpec::default() };
    let fleet = Fleet::start(spec).await;
    for (service, replica) in replicas(&fleet) {
        fleet.set_snapshots(service, replica, &[1]);
    }
    fleet.publish(|declared| declared.snapshots.push(SnapshotPlan { id: 2, rotation: 1, shards: 6 }));
    let mut seen = Vec::new();
    let mut number = 0;
    for (service, replica) in replicas(&fleet) {
        // Replicas later in the order still hold only the old snapshot.
        fleet.set_snapshots(service, replica, &[2]);
        for _ in 0..15 {
            number += 1;
            if let Ok(answer) = fleet.client().query_once(&fleet.lookup(number)).await {
                assert_valid_answer(&fleet, number, &answer);
                seen.push(answer.snapshot.0);
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    assert!(seen.contains(&1) && seen.contains(&2), "queries saw only {seen:?}");
    assert_eq!(seen.last(), Some(&2));
}

/// While the newer snapshot lacks a shard, queries must get full coverage from the older one.
#[tokio::test(flavor = "multi_thread")]
async fn queries_stay_on_the_older_snapshot_until_the_newer_is_complete() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    for (service, replica) in replicas(&fleet) {
        fleet.set_snapshots(service, replica, &[1]);
    }
    let version =
        fleet.publish(|declared| declared.snapshots.push(SnapshotPlan { id: 2, rotation: 0, shards: 2 }));
    sleep(Duration::from_millis(1500)).await;
    // One replica of each service loads the new snapshot, except in the last service.
    for service in 0..fleet.spec().services - 1 {
        fleet.set_snapshots(service, 0, &[1, 2]);
    }
    for number in 0..60 {
        let answer = fleet.client().query_once(&fleet.lookup(number)).await.unwrap();
        assert_valid_answer(&fleet, number, &answer);
        assert_eq!((answer.snapshot.0, answer.missing.len()), (1, 0), "version {version}, query {number}");
        sleep(Duration::from_millis(20)).await;
    }
    fleet.set_snapshots(fleet.spec().services - 1, 1, &[1, 2]);
    sleep(Duration::from_millis(2500)).await;
    // An entry's first query may still use the older one: the entry learns of the newer with its answer.
    for host in 0..fleet.spec().hosts {
        let _ = fleet.client_of(host).query_once(&fleet.lookup(0)).await;
    }
    let answer = fleet.client().query_once(&fleet.lookup(1)).await.unwrap();
    assert_eq!((answer.snapshot.0, answer.missing.len()), (2, 0));
}

fn replicas(fleet: &Fleet) -> Vec<(usize, usize)> {
    let spec = fleet.spec();
    (0..spec.replicas).flat_map(|replica| (0..spec.services).map(move |service| (service, replica))).collect()
}
