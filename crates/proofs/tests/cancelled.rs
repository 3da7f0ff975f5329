//! Attempts that are cancelled because another service has decided the query, on a paused clock.
//!
//! With `below_minimum = "refuse"` and full coverage required, one service that cannot take a
//! query makes the whole query fail. The other service must not be blamed for its cancelled
//! attempts, and must not spend slots on queries that are refused anyway.

use std::time::Duration;

use egret_client::Query;
use egret_events::Code;
use egret_model::{Ran, RefusalKind};
use egret_proofs::{FleetSpec, QueryError, Role, SimulatedFleet, lookup_body};
use egret_standin::Behaviour;
use egret_wire::QueryRequest;
use tokio::time::{Instant, sleep};

const READY_AFTER: Duration = Duration::from_secs(3);

/// Returns a fleet of two services that refuse partial answers.
fn strict(hosts: usize) -> FleetSpec {
    let usual = FleetSpec::default();
    let behaviour = Behaviour { service_us: 40_000, ..usual.behaviour.clone() };
    FleetSpec { hosts, services: 2, below_minimum: "refuse", min_coverage: 1.0, behaviour, ..usual }
}

async fn start(spec: FleetSpec) -> SimulatedFleet {
    fastrand::seed(1);
    let fleet = SimulatedFleet::start(spec);
    sleep(READY_AFTER).await;
    fleet
}

fn lookup(number: u64) -> QueryRequest {
    Query::group("desk", "lookup", &lookup_body(number)).unwrap().request().clone()
}

/// A cancelled attempt is no failure of its target, so it must not count towards ejection.
#[tokio::test(start_paused = true)]
async fn cancelled_work_ejects_no_replica() {
    let fleet = start(strict(1)).await;
    let usual = fleet.targets[1][0].behaviour();
    for target in &fleet.targets[1] {
        target.set(Behaviour { sheds: true, ..usual.clone() });
    }
    for number in 0..12 {
        let refused = fleet.query(0, &lookup(number)).await;
        assert!(matches!(refused, Err(QueryError::Refused(_))), "{refused:?}");
        sleep(Duration::from_millis(200)).await;
    }
    let runs: usize = fleet.targets[0].iter().map(|target| target.executions().len()).sum();
    assert!(runs >= 6, "the other service ran only {runs} attempts, so that few were cancelled");
    let ejected: Vec<String> = fleet
        .events(0, Role::Relay)
        .into_iter()
        .filter(|event| event.code == Code::ReplicaEjected)
        .map(|event| event.detail)
        .collect();
    assert!(ejected.is_empty(), "{ejected:?}");
}

/// Fills the slots and the queue of the second service with 200 queries.
async fn fill_second_service(fleet: &SimulatedFleet) {
    for number in 0..200 {
        let request = Query::service("desk-01", "lookup", &lookup_body(number)).unwrap().request().clone();
        let caller = fleet.caller();
        tokio::spawn(async move { caller.query(0, &request).await });
    }
    sleep(Duration::from_millis(10)).await;
}

/// Returns the hosts whose relays have sent attempts to targets.
fn owners(fleet: &SimulatedFleet) -> Vec<usize> {
    let has_sent = |host: &usize| {
        let events = fleet.events(*host, Role::Relay);
        events.iter().any(|event| event.code == Code::TargetSent)
    };
    (0..fleet.versions().len()).filter(has_sent).collect()
}

fn runs_of(fleet: &SimulatedFleet, mark: &str) -> usize {
    fleet.executions().iter().filter(|execution| execution.body.contains(mark)).count()
}

/// Starts two services owned by different relays, so that neither relay alone decides a query.
async fn start_with_two_owners() -> SimulatedFleet {
    let fleet = start(strict(4)).await;
    for number in 0..8 {
        fleet.query(0, &lookup(number)).await.unwrap();
    }
    assert_eq!(owners(&fleet).len(), 2, "the services are not owned by two relays");
    fleet
}

/// One service cannot take a bid: the other must not run it, and the refusal must say that it did not run.
#[tokio::test(start_paused = true)]
async fn a_bid_that_one_service_refuses_runs_at_no_service() {
    let fleet = start_with_two_owners().await;
    fill_second_service(&fleet).await;
    let ticket = fleet.caller().ticket(0).await.unwrap().ticket;
    let bid = Query::group("desk", "lookup", r#"{"mark":"bid-1"}"#).unwrap().non_idempotent().ticket(&ticket);
    let Err(QueryError::Refused(refusal)) = fleet.query(0, bid.request()).await else {
        panic!("the second service took the bid");
    };
    assert_eq!((refusal.kind, refusal.ran), (RefusalKind::Overload, Ran::No), "{refusal:?}");
    assert!(refusal.retry_after_ms.is_some() && refusal.ticket.is_some(), "{refusal:?}");
    sleep(Duration::from_secs(5)).await;
    assert_eq!(runs_of(&fleet, "bid-1"), 0);
}

/// After the first refusal no further query runs at the other service only to be refused.
#[tokio::test(start_paused = true)]
async fn queries_that_one_busy_service_refuses_run_at_no_other() {
    let fleet = start_with_two_owners().await;
    fill_second_service(&fleet).await;
    let mut refused = Vec::new();
    for number in 0..4 {
        let mark = format!("query-{number}.");
        let query = Query::group("desk", "lookup", &format!(r#"{{"mark":"{mark}"}}"#)).unwrap();
        let started = Instant::now();
        // A slot becomes free every 10 ms, so that a late query may get one.
        let Err(QueryError::Refused(refusal)) = fleet.query(0, query.request()).await else { continue };
        assert_eq!(refusal.kind, RefusalKind::Overload, "{refusal:?}");
        assert!(started.elapsed() < Duration::from_millis(20), "refused only after {:?}", started.elapsed());
        refused.push((mark, refusal));
    }
    assert!(refused.len() >= 3, "only {} of 4 were refused", refused.len());
    sleep(Duration::from_secs(5)).await;
    for (mark, refusal) in &refused[1..] {
        assert_eq!(refusal.ran, Ran::No, "{mark}: {refusal:?}");
        assert_eq!(runs_of(&fleet, mark), 0, "{mark} was refused as not run");
    }
}
