//! Measures the marginal costs used in docs/CAPACITY.md: what one more query, sub-request,
//! service, peer or change costs. Each is the slope over three or more sizes.

use std::time::Duration;

use egret_proofs::{Fleet, FleetSpec};
use egret_standin::Behaviour;
use egret_tools::load::{Plan, Report, run as send};
use tokio::time::sleep;

use crate::row::{MeasurementStart, Row};

const LENGTH: Duration = Duration::from_secs(8);

fn spec() -> FleetSpec {
    let behaviour = Behaviour { slots: 64, service_us: 1000, records: 20, ..Behaviour::default() };
    FleetSpec { slots: 64, shards: 1, behaviour, ..FleetSpec::default() }
}

async fn load(fleet: &Fleet, rate: f64) -> Report {
    let plan = Plan {
        group: "desk".to_owned(),
        class: "lookup".to_owned(),
        body: r#"{"field":"nizwa","limit":1,"n":%N}"#.to_owned(),
        budget: Duration::from_millis(1000),
        rate,
        duration: LENGTH,
        seed: 1,
        non_idempotent: false,
    };
    send(&fleet.client(), &plan).await.expect("the plan is valid")
}

/// The rate of queries grows.
async fn run_rates() -> Vec<Row> {
    let mut rows = Vec::new();
    let fleet = Fleet::start(FleetSpec { services: 10, ..spec() }).await;
    for rate in [25.0, 50.0, 100.0, 200.0, 400.0, 800.0] {
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, rate).await;
        rows.push(start.row(&fleet, "queries a second", &format!("{rate}, 10 services"), &report));
    }
    rows
}

/// The fan-out of a query grows at a fixed rate of queries.
async fn run_fan_out() -> Vec<Row> {
    let mut rows = Vec::new();
    for services in [5, 10, 20, 40] {
        let fleet = Fleet::start(FleetSpec { services, ..spec() }).await;
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, 50.0).await;
        rows.push(start.row(&fleet, "fan-out", &format!("{services} services, 50 queries/s"), &report));
    }
    rows
}

/// The number of shards in one exchange with a target grows.
async fn run_batch() -> Vec<Row> {
    let mut rows = Vec::new();
    for shards in [1, 4, 16] {
        let fleet = Fleet::start(FleetSpec { services: 10, shards, ..spec() }).await;
        let start = MeasurementStart::now(&fleet);
        let report = load(&fleet, 50.0).await;
        rows.push(start.row(
            &fleet,
            "shards an exchange",
            &format!("{shards}, 10 services, 50 queries/s"),
            &report,
        ));
    }
    rows
}

/// Control traffic without queries, by the number of services and of hosts.
async fn run_control() -> Vec<Row> {
    let mut rows = Vec::new();
    for (services, hosts) in [(10, 3), (50, 3), (200, 3), (10, 6), (10, 12)] {
        let fleet = Fleet::start(FleetSpec { services, hosts, ..spec() }).await;
        sleep(Duration::from_secs(2)).await;
        let start = MeasurementStart::now(&fleet);
        sleep(LENGTH).await;
        let variant = format!("{services} services, {hosts} hosts, no queries");
        rows.push(start.row(&fleet, "control", &variant, &Report::default()));
    }
    rows
}

/// Versions that each change one service are published every 250 ms.
async fn run_changes() -> Vec<Row> {
    let mut rows = Vec::new();
    for services in [10, 50, 200] {
        let fleet = Fleet::start(FleetSpec { services, ..spec() }).await;
        sleep(Duration::from_secs(2)).await;
        let start = MeasurementStart::now(&fleet);
        let changes = 32;
        for change in 0..changes {
            fleet.publish_service_change(change % services);
            sleep(LENGTH / changes as u32).await;
        }
        let variant = format!("{services} services, {changes} changes in {} s", LENGTH.as_secs());
        rows.push(start.row(&fleet, "changes", &variant, &Report::default()));
    }
    rows
}

pub(crate) async fn run() -> Vec<Row> {
    let mut rows = run_rates().await;
    rows.extend(run_fan_out().await);
    rows.extend(run_batch().await);
    rows.extend(run_control().await);
    rows.extend(run_changes().await);
    rows
}
