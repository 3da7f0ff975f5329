//! A query that is planned again because its snapshot is no longer held, on a paused clock.

use std::time::Duration;

use egret_client::Query;
use egret_model::{PlacementId, Ran, ShardId, SnapshotId};
use egret_proofs::{FleetSpec, QueryError, SimulatedFleet, SnapshotPlan, lookup_body};
use egret_standin::{Behaviour, Target};
use egret_wire::HeldSnapshot;
use tokio::time::sleep;

const SETTLED_AFTER: Duration = Duration::from_secs(8);
const PROBED_AFTER: Duration = Duration::from_millis(1500);

fn hold(target: &Target, id: u64) {
    let held = HeldSnapshot { snapshot: SnapshotId(id), placement: PlacementId(id) };
    target.set(Behaviour { snapshots: vec![held], ..target.behaviour() });
}

/// The newer snapshot lacks a shard that the query names: no plan on it is possible, but
/// the first plan has run a part, which the outcome must not deny.
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
    fleet.targets[0].iter().for_each(|target| hold(target, 1));
    // Its placement turns by 3, so that its only shard lies at the second replica.
    fleet.publish(|declared| declared.snapshots.push(SnapshotPlan { id: 3, rotation: 3, shards: 1 }));
    sleep(SETTLED_AFTER).await;
    let mut request = Query::service("desk-00", "lookup", &lookup_body(1)).unwrap().request().clone();
    let shard = |name: &str| ShardId { service: "desk-00".parse().unwrap(), shard: name.parse().unwrap() };
    request.shards = vec![shard("s0"), shard("s1")];
    let before = fleet.query(0, &request).await.unwrap();
    assert_eq!((before.snapshot, before.missing.len()), (SnapshotId(1), 0));
    let ran_before = fleet.executions().len();

    // The relay asks its targets; the entry learns of it only with its next query.
    hold(&fleet.targets[0][1], 3);
    sleep(PROBED_AFTER).await;
    let outcome = fleet.query(0, &request).await;
    assert!(fleet.executions().len() > ran_before, "the first plan ran nothing: {outcome:?}");
    match outcome {
        Ok(answer) => assert_eq!((answer.snapshot, answer.ran), (SnapshotId(1), Ran::Yes), "{answer:?}"),
        Err(QueryError::Refused(refusal)) => assert_ne!(refusal.ran, Ran::No, "{refusal:?}"),
        Err(lost) => panic!("{lost:?}"),
    }
}
