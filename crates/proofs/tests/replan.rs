//! A query that is planned again because its snapshot is no longer held, on a paused clock.
//!
//! If the second plan fails, the outcome must still report what the first plan ran.

use std::time::Duration;

use egret_client::Query;
use egret_model::{PlacementId, Ran, ShardId, SnapshotId};
use egret_proofs::{FleetSpec, QueryError, SimulatedFleet, SnapshotPlan, lookup_body};
use egret_standin::{Behaviour, Target};
use egret_wire::HeldSnapshot;
use tokio::time::sleep;

const CONFIG_IN_FORCE_AFTER: Duration = Duration::from_secs(8);
const PROBED_AFTER: Duration = Duration::from_millis(1500);

fn set_snapshot(target: &Target, id: u64) {
    let held = HeldSnapshot { snapshot: SnapshotId(id), placement: PlacementId(id) };
    target.set(Behaviour { snapshots: vec![held], ..target.behaviour() });
}

/// The newer snapshot lacks a shard that the query names, so that no second plan is possible.
/// The first plan has run at one target, which the outcome must not deny.
#[tokio::test(start_paused = true)]
async fn a_second_plan_that_fails_does_not_deny_what_the_first_one_ran() {
    fastrand::seed(1);
    let spec = FleetSpec {
        hosts: 1,
        services: 1,
        replicas: 2,
        shards: 2,
        replicas_per_shard: 1,
        ..FleetSpec::default()
    };
    let mut fleet = SimulatedFleet::start(spec);
    fleet.targets[0].iter().for_each(|target| set_snapshot(target, 1));
    // A rotation of 3 puts its only shard on the second of the two replicas.
    fleet.publish(|declared| declared.snapshots.push(SnapshotPlan { id: 3, rotation: 3, shards: 1 }));
    sleep(CONFIG_IN_FORCE_AFTER).await;
    let mut request = Query::service("desk-00", "lookup", &lookup_body(1)).unwrap().request().clone();
    let shard = |name: &str| ShardId { service: "desk-00".parse().unwrap(), shard: name.parse().unwrap() };
    request.shards = vec![shard("s0"), shard("s1")];
    let before = fleet.query(0, &request).await.unwrap();
    assert_eq!((before.snapshot, before.missing.len()), (SnapshotId(1), 0));
    let ran_before = fleet.executions().len();

    // The relay learns of the change by probing; the entry only with its next query.
    set_snapshot(&fleet.targets[0][1], 3);
    sleep(PROBED_AFTER).await;
    let outcome = fleet.query(0, &request).await;
    assert!(fleet.executions().len() > ran_before, "the first plan ran nothing: {outcome:?}");
    match outcome {
        Ok(answer) => assert_eq!((answer.snapshot, answer.ran), (SnapshotId(1), Ran::Yes), "{answer:?}"),
        Err(QueryError::Refused(refusal)) => assert_ne!(refusal.ran, Ran::No, "{refusal:?}"),
        Err(lost) => panic!("{lost:?}"),
    }
}
