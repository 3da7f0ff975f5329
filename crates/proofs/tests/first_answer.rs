//! The latency of a request that no target has answered before, on a paused clock.
//!
//! To contain requests that crash targets, a new request is first sent to one replica only.
//! This must cost it one search time, however many replicas it needs.

use std::time::Duration;

use egret_client::Query;
use egret_proofs::{FleetSpec, SimulatedFleet, lookup_body};
use egret_standin::Behaviour;
use tokio::time::{Instant, sleep};

const REPLICAS: usize = 12;
const MEAN_SEARCH: Duration = Duration::from_millis(20);
/// The stand-in targets draw search times of up to one and a half times the mean.
const SEARCH_MAX: Duration = Duration::from_millis(30);
/// Messages from the caller over entry and relay to the targets and back, and the resolution of timers.
const NETWORK_MAX: Duration = Duration::from_millis(10);

/// Returns a fleet of one service with [`REPLICAS`] replicas, each of which holds one shard alone.
fn wide() -> FleetSpec {
    let usual = FleetSpec::default();
    let service_us = MEAN_SEARCH.as_micros() as u64;
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

/// Once the first replica has answered, all others may run the request in parallel: two search times in all.
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
        assert!(took <= SEARCH_MAX * 2 + NETWORK_MAX, "query {number} took {took:?}");
    }
}
