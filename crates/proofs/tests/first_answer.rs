//! How long a request takes that no target answered before, on a paused clock.

use std::time::Duration;

use egret_client::Query;
use egret_proofs::{FleetSpec, SimulatedFleet, lookup_body};
use egret_standin::Behaviour;
use tokio::time::{Instant, sleep};

const REPLICAS: usize = 12;
const SERVICE: Duration = Duration::from_millis(20);
/// A search takes up to one and a half times the mean.
const SEARCH_MAX: Duration = Duration::from_millis(30);
/// Caller to entry to relay to targets and back, and the steps of the timers.
const NETWORK: Duration = Duration::from_millis(10);

/// One service of many replicas, each of which holds one shard alone.
fn wide() -> FleetSpec {
    let usual = FleetSpec::default();
    let service_us = SERVICE.as_micros() as u64;
    let behaviour = Behaviour { service_us, ..usual.behaviour.clone() };
    FleetSpec {
        hosts: 1,
        services: 1,
        replicas: REPLICAS,
        shards: REPLICAS,
        replicas_per_shard: 1,
        behaviour,
        ..usual
    }
}

/// A new request first goes to one replica; once that answered, all others may run it at once.
#[tokio::test(start_paused = true)]
async fn a_new_request_waits_for_its_first_answer_only() {
    fastrand::seed(1);
    let fleet = SimulatedFleet::start(wide());
    sleep(Duration::from_secs(3)).await;
    for number in 0..10 {
        let query = Query::group("desk", "lookup", &lookup_body(number)).unwrap();
        let started = Instant::now();
        let answer = fleet.query(0, query.request()).await.unwrap();
        let took = started.elapsed();
        assert_eq!(answer.missing, [], "query {number}");
        assert!(took <= SEARCH_MAX * 2 + NETWORK, "query {number} took {took:?}");
    }
}
