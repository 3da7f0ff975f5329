//! Work that is cancelled because its query is decided, on a paused clock.

use std::time::Duration;

use egret_client::Query;
use egret_events::Code;
use egret_proofs::{Outcome, Role, Shape, World, body};
use egret_standin::Behaviour;
use egret_wire::QueryRequest;
use tokio::time::sleep;

const READY_AFTER: Duration = Duration::from_secs(3);

/// Two services that refuse partial answers, served by one relay each where there are two hosts.
fn strict(hosts: usize) -> Shape {
    let usual = Shape::default();
    let behaviour = Behaviour { service_us: 40_000, ..usual.behaviour.clone() };
    Shape { hosts, services: 2, below_minimum: "refuse", min_coverage: 1.0, behaviour, ..usual }
}

async fn start(shape: Shape) -> World {
    fastrand::seed(1);
    let world = World::start(shape);
    sleep(READY_AFTER).await;
    world
}

fn lookup(number: u64) -> QueryRequest {
    Query::group("desk", "lookup", &body(number)).unwrap().request().clone()
}

/// A target that was told to stop has not failed: it must not be left out for that.
#[tokio::test(start_paused = true)]
async fn cancelled_work_ejects_no_replica() {
    let world = start(strict(1)).await;
    let usual = world.targets[1][0].behaviour();
    for target in &world.targets[1] {
        target.set(Behaviour { sheds: true, ..usual.clone() });
    }
    for number in 0..12 {
        let refused = world.query(0, &lookup(number)).await;
        assert!(matches!(refused, Err(Outcome::Refused(_))), "{refused:?}");
        sleep(Duration::from_millis(200)).await;
    }
    let runs: usize = world.targets[0].iter().map(|target| target.executions().len()).sum();
    assert!(runs >= 6, "the other service ran too little to be cancelled: {runs}");
    let ejected: Vec<String> = world
        .events(0, Role::Relay)
        .into_iter()
        .filter(|event| event.code == Code::ReplicaEjected)
        .map(|event| event.detail)
        .collect();
    assert!(ejected.is_empty(), "{ejected:?}");
}
