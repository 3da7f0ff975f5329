//! The cases without faults, and with a straggler or overload.
//!
//! All variants of a case run one after the other with the same seed and load.

use std::{sync::Arc, time::Duration};

use egret_proofs::{Fleet, FleetSpec};
use egret_standin::Behaviour;
use egret_tools::load::{Plan, Report, run};
use tokio::time::{Instant, sleep};

use crate::row::{MeasurementStart, Row};

const SEED: u64 = 1;
const LENGTH: Duration = Duration::from_secs(8);
pub(crate) const SERVICE_US: u64 = 20_000;
const SEQUENTIAL_CALLS: u64 = 400;
const CONNECT_US: u64 = 6_000;
/// The queries per second that the slots of each service can run: 2 replicas of 2 slots at 20 ms.
pub(crate) const CAPACITY_QPS: f64 = 200.0;

/// Returns the behaviour of a target without faults.
pub(crate) fn default_behaviour() -> Behaviour {
    Behaviour {
        slots: 2,
        service_us: SERVICE_US,
        connect_us: CONNECT_US,
        records: 20,
        ..Behaviour::default()
    }
}

pub(crate) fn spec(services: usize, baseline: &'static str) -> FleetSpec {
    FleetSpec { services, shards: 1, baseline, behaviour: default_behaviour(), ..FleetSpec::default() }
}

pub(crate) fn plan(rate: f64, budget_ms: u64) -> Plan {
    Plan {
        group: "desk".to_owned(),
        class: "lookup".to_owned(),
        body: r#"{"field":"nizwa","limit":1,"n":%N}"#.to_owned(),
        budget: Duration::from_millis(budget_ms),
        rate,
        duration: LENGTH,
        seed: SEED,
        non_idempotent: false,
    }
}

pub(crate) async fn load(fleet: &Fleet, plan: &Plan) -> Report {
    run(&fleet.client(), plan).await.expect("the plan is valid")
}

/// Sends load for 3 s, so that connections are open and latency estimates exist.
pub(crate) async fn warm_up(fleet: &Fleet, rate: f64) {
    let plan = Plan { duration: Duration::from_secs(3), ..plan(rate, 1000) };
    load(fleet, &plan).await;
}

/// One caller that sends one query at a time: the latency that the tier adds to a direct call.
///
/// Targets add no delay. With pauses, all threads sleep between two queries and must be woken
/// up; without pauses, none sleeps for long.
pub(crate) async fn idle() -> Vec<Row> {
    let behaviour = Behaviour { service_us: 0, connect_us: 0, ..default_behaviour() };
    let fleet = Fleet::start(FleetSpec { services: 1, shards: 1, behaviour, ..FleetSpec::default() }).await;
    warm_up(&fleet, 50.0).await;
    let mut rows = Vec::new();
    for (label, pause) in [("20 ms pauses", Duration::from_millis(20)), ("no pauses", Duration::ZERO)] {
        let start = MeasurementStart::now(&fleet);
        let report = sequential_queries(&fleet, pause).await;
        rows.push(start.row(&fleet, "idle", &format!("tier, {label}"), &report));
        let start = MeasurementStart::now(&fleet);
        let report = sequential_direct_calls(&fleet, pause).await;
        rows.push(start.row(&fleet, "idle", &format!("direct call, {label}"), &report));
    }
    rows
}

/// Times each query from its sending; timing from a scheduled start would add the timer's millisecond.
async fn sequential_queries(fleet: &Fleet, pause: Duration) -> Report {
    let caller = fleet.client();
    let mut report = Report::default();
    for number in 0..SEQUENTIAL_CALLS {
        let query = fleet.lookup(number);
        let started = Instant::now();
        let result = caller.query_once(&query).await;
        report.add(started.elapsed(), Duration::from_secs(1), &result);
        sleep(pause).await;
    }
    report
}

async fn sequential_direct_calls(fleet: &Fleet, pause: Duration) -> Report {
    let client = egret_node::HttpClient::open(4);
    let target = fleet.targets[0][0].address();
    let answer = fleet.client().query_once(&fleet.lookup(1)).await.expect("the fleet serves");
    let mut report = Report::default();
    for _ in 0..SEQUENTIAL_CALLS {
        let started = Instant::now();
        let _ = client
            .post_json(target, egret_wire::SEARCH_PATH, &direct_request(), Duration::from_secs(1))
            .await;
        report.add(started.elapsed(), Duration::from_secs(1), &Ok(answer.clone()));
        sleep(pause).await;
    }
    report
}

fn direct_request() -> serde_json::Value {
    serde_json::json!({
        "query": "1", "origin": "1", "attempt": 1, "service": "desk-00", "snapshot": 1, "placement": 1,
        "shards": ["s0"], "class": "lookup", "budget_ms": 1000, "idempotent": true,
        "body": {"field": "nizwa", "limit": 1}
    })
}

/// The first second of queries after the start, while connections, 6 ms each, are being opened.
pub(crate) async fn cold() -> Vec<Row> {
    let fleet = Fleet::start(spec(10, "none")).await;
    let start = MeasurementStart::now(&fleet);
    let report =
        load(&fleet, &Plan { duration: Duration::from_secs(1), ..plan(CAPACITY_QPS / 2.0, 1000) }).await;
    vec![start.row(&fleet, "cold", "first second", &report)]
}

/// Load of half the slots' capacity.
pub(crate) async fn calm() -> Vec<Row> {
    let mut rows = Vec::new();
    for baseline in ["none", "random", "direct"] {
        let fleet = Fleet::start(spec(10, baseline)).await;
        warm_up(&fleet, 50.0).await;
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, &plan(CAPACITY_QPS / 2.0, 1000)).await;
        rows.push(start.row(&fleet, "calm", variant_name(baseline), &report));
    }
    rows
}

/// One replica of 1 service in 20 is 10 times slower, and 5 in 100 of its replies 50 times.
pub(crate) async fn straggler() -> Vec<Row> {
    let mut rows = Vec::new();
    for baseline in ["none", "random", "fixed-hedge", "direct"] {
        let fleet = Fleet::start(spec(20, baseline)).await;
        warm_up(&fleet, 30.0).await;
        let slow = Behaviour {
            service_us: SERVICE_US * 10,
            slow_share: 0.05,
            slow_factor: 5.0,
            ..default_behaviour()
        };
        fleet.targets[0][0].set(slow);
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, &plan(60.0, 2000)).await;
        rows.push(start.row(&fleet, "straggler", variant_name(baseline), &report));
    }
    rows
}

/// Load of 100% to 200% of the slots' capacity; queries of the first class are a quarter of the capacity.
pub(crate) async fn overload() -> Vec<Row> {
    let mut rows = Vec::new();
    for (label, share) in [("100%", 1.0), ("120%", 1.2), ("200%", 2.0)] {
        for baseline in ["none", "arrival", "direct"] {
            let spec = FleetSpec { below_minimum: "refuse", min_coverage: 1.0, ..spec(5, baseline) };
            let fleet = Fleet::start(spec).await;
            warm_up(&fleet, 50.0).await;
            let start = MeasurementStart::now(&fleet);
            let first = plan(CAPACITY_QPS * 0.25, 300);
            let rest =
                Plan { class: "archive".to_owned(), seed: 2, ..plan(CAPACITY_QPS * (share - 0.25), 300) };
            let (first, rest) = tokio::join!(load(&fleet, &first), load(&fleet, &rest));
            let case = format!("overload {label}");
            rows.push(start.row(&fleet, &case, &format!("{}, first class", variant_name(baseline)), &first));
            rows.push(start.row(&fleet, &case, &format!("{}, last class", variant_name(baseline)), &rest));
        }
    }
    rows
}

/// A retry storm: 60 callers send their next query 3 ms after each result; then normal load returns.
pub(crate) async fn storm() -> Vec<Row> {
    let mut rows = Vec::new();
    for baseline in ["none", "arrival"] {
        let spec = FleetSpec { below_minimum: "refuse", min_coverage: 1.0, ..spec(5, baseline) };
        let fleet = Arc::new(Fleet::start(spec).await);
        warm_up(&fleet, 50.0).await;
        let start = MeasurementStart::now(&fleet);
        let before = fleet.executions().len();
        let end = Instant::now() + LENGTH;
        let mut callers = tokio::task::JoinSet::new();
        let client = fleet.client();
        for caller in 0..60_u64 {
            let (client, fleet) = (client.clone(), Arc::clone(&fleet));
            callers.spawn(async move {
                let mut number = caller * 1_000_000;
                let mut results = Vec::new();
                while Instant::now() < end {
                    number += 1;
                    let started = Instant::now();
                    let query = fleet.lookup(number).budget(Duration::from_millis(100));
                    let result = client.query_once(&query).await;
                    results.push((started.elapsed(), result));
                    // The caller ignores retry_after_ms and waits only for about a network round trip.
                    sleep(Duration::from_millis(3)).await;
                }
                results
            });
        }
        let mut report = Report::default();
        for (took, result) in callers.join_all().await.into_iter().flatten() {
            report.add(took, Duration::from_millis(100), &result);
        }
        let attempts = (fleet.executions().len() - before) as f64;
        let capacity = CAPACITY_QPS * 5.0 * LENGTH.as_secs_f64();
        let label =
            format!("{}, attempts {:.2} of what slots carry", variant_name(baseline), attempts / capacity);
        rows.push(start.row(&fleet, "storm", &label, &report));
        let start = MeasurementStart::now(&fleet);
        let after = load(&fleet, &Plan { duration: Duration::from_secs(4), ..plan(50.0, 300) }).await;
        rows.push(start.row(&fleet, "after the storm", variant_name(baseline), &after));
    }
    rows
}

/// Returns the name of a variant in the results, where the product is `egretcross`.
pub(crate) fn variant_name(baseline: &'static str) -> &'static str {
    if baseline == "none" { "egretcross" } else { baseline }
}
