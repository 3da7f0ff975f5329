//! Promise 4: when a refusal says that a request was not run, it was not run.
//!
//! A refusal that wrongly says so makes callers repeat a request that has run. It threatens
//! under overload, and when a target fails after it began to run the request.

use std::{collections::BTreeMap, time::Duration};

use egret_client::Query;
use egret_model::{Ran, RefusalKind};
use egret_proofs::{Fleet, FleetSpec};
use egret_standin::Behaviour;
use tokio::{task::JoinSet, time::sleep};

/// The time budget of the queries under overload, within which each must be refused that is not run.
const REFUSED_WITHIN: Duration = Duration::from_millis(300);

/// Returns a query with a mark in its body, by which its executions are found without a query id.
fn marked(mark: &str) -> Query {
    Query::group("desk", "lookup", &format!(r#"{{"mark":"{mark}"}}"#)).unwrap()
}

fn runs(fleet: &Fleet, mark: &str) -> usize {
    let mark = format!("\"{mark}\"");
    fleet.executions().iter().filter(|execution| execution.body.contains(&mark)).count()
}

/// Returns the longest time that all traffic threads of a daemon have waited for a processor since `before`: while
/// one of them runs, it works on what is to be done.
fn longest_wait(fleet: &Fleet, before: &[BTreeMap<u32, Duration>]) -> Duration {
    let now = fleet.processor_waits();
    let shortest_of_daemon = |(before, now): (&BTreeMap<u32, Duration>, &BTreeMap<u32, Duration>)| {
        let since = |(thread, wait): (&u32, &Duration)| Some(wait.saturating_sub(*before.get(thread)?));
        now.iter().filter_map(since).min()
    };
    before.iter().zip(&now).filter_map(shortest_of_daemon).max().unwrap_or_default()
}

/// Asserts that a query is refused with `kind` as not run, and that no target ran it.
async fn assert_refused_not_run(fleet: &Fleet, query: &Query, mark: &str, kind: RefusalKind) {
    let error = fleet.client().query_once(query).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (Some(kind), Ran::No), "{error}");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(runs(fleet, mark), 0, "the refusal {kind} said not run, and a target ran it");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_refused_as_not_run_have_not_run() {
    let spec =
        FleetSpec { below_minimum: "refuse", min_coverage: 1.0, budget_ms: 500, ..FleetSpec::default() };
    let usual = spec.behaviour.clone();
    let fleet = Fleet::start(spec).await;
    let unknown = Query::group("nowhere", "lookup", r#"{"mark":"m1"}"#).unwrap();
    assert_refused_not_run(&fleet, &unknown, "m1", RefusalKind::NotFound).await;
    let unknown = Query::group("desk", "nothing", r#"{"mark":"m2"}"#).unwrap();
    assert_refused_not_run(&fleet, &unknown, "m2", RefusalKind::NotFound).await;
    let no_ticket = marked("m3").non_idempotent();
    assert_refused_not_run(&fleet, &no_ticket, "m3", RefusalKind::TicketNeeded).await;
    let bad_ticket = marked("m4").non_idempotent().ticket("t1_nonsense");
    assert_refused_not_run(&fleet, &bad_ticket, "m4", RefusalKind::TicketInvalid).await;
    let bad_budget = marked("m5").budget(Duration::ZERO);
    assert_refused_not_run(&fleet, &bad_budget, "m5", RefusalKind::BadRequest).await;
    let bad_share = marked("m6").min_coverage(7.0);
    assert_refused_not_run(&fleet, &bad_share, "m6", RefusalKind::BadRequest).await;
    for target in fleet.targets.iter().flatten() {
        target.set(Behaviour { sheds: true, ..usual.clone() });
    }
    // One service, so that the query is not decided before another relay has reported what it ran.
    let one = |mark: &str| Query::service("desk-00", "lookup", &format!(r#"{{"mark":"{mark}"}}"#)).unwrap();
    assert_refused_not_run(&fleet, &one("m7"), "m7", RefusalKind::Overload).await;
    for target in fleet.targets.iter().flatten() {
        target.set(Behaviour { draining: true, ..usual.clone() });
    }
    sleep(Duration::from_millis(1500)).await;
    assert_refused_not_run(&fleet, &one("m8"), "m8", RefusalKind::Coverage).await;
}

/// More work arrives than the slots can run in the time budget; refusals must come within it too.
#[tokio::test(flavor = "multi_thread")]
async fn overload_refusals_are_true_immediate_and_say_when_to_come_back() {
    let behaviour = Behaviour { service_us: 40_000, ..FleetSpec::default().behaviour };
    let spec = FleetSpec {
        services: 1,
        shards: 1,
        below_minimum: "refuse",
        min_coverage: 1.0,
        budget_ms: 300,
        behaviour,
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(spec).await;
    for number in 0..8 {
        let _ = fleet.client().query_once(&fleet.lookup(number)).await;
    }
    let client = fleet.client();
    let mut tasks = JoinSet::new();
    let waits = fleet.processor_waits();
    for number in 0..200 {
        let (client, query) = (client.clone(), marked(&format!("o{number}")));
        tasks.spawn(async move {
            let started = tokio::time::Instant::now();
            (number, client.query_once(&query).await, started.elapsed())
        });
    }
    let mut results = Vec::new();
    while let Some(result) = tasks.join_next().await {
        let (number, result, took) = result.unwrap();
        // On a busy machine the daemons wait for a processor; the bound is on what they do with it.
        let waited = if took < REFUSED_WITHIN { Duration::ZERO } else { longest_wait(&fleet, &waits) };
        results.push((number, result, took, waited));
    }
    let (mut not_run, mut answered) = (0, 0);
    for (number, result, took, waited) in results {
        match result {
            Ok(_) => answered += 1,
            Err(error) if error.ran() == Ran::No => {
                not_run += 1;
                assert_eq!(runs(&fleet, &format!("o{number}")), 0, "{error}");
                let refusal = error.refusal().expect("an entry answered");
                assert!(refusal.retry_after_ms.is_some_and(|after| after > 0), "{refusal:?}");
                // A query that cannot get a slot in time is refused as soon as that is known, not at its deadline.
                let own = took.saturating_sub(waited);
                assert!(own < REFUSED_WITHIN, "refused after {took:?}, a daemon waited {waited:?}");
            }
            Err(_) => {}
        }
    }
    assert!(not_run > 100 && answered > 5, "{not_run} not run, {answered} answered");
}

/// A target that is late, truncates its reply or crashes has run the request; the refusal must not deny it.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_run_never_says_not_run() {
    let spec = FleetSpec {
        services: 1,
        shards: 1,
        below_minimum: "refuse",
        min_coverage: 1.0,
        retry_percent: 0.0,
        ..FleetSpec::default()
    };
    let usual = spec.behaviour.clone();
    let fleet = Fleet::start(spec).await;
    let crash_on = Some("crash".to_owned());
    let faults = [
        ("late", Behaviour { service_us: 900_000, ..usual.clone() }),
        ("truncated", Behaviour { truncates: true, ..usual.clone() }),
        ("confused", Behaviour { confuses: true, ..usual.clone() }),
        ("crash", Behaviour { crash_on, ..usual }),
    ];
    for (mark, behaviour) in faults {
        fleet.targets[0].iter().for_each(|target| target.set(behaviour.clone()));
        let query = marked(mark).budget(Duration::from_millis(250));
        let error = fleet.client().query_once(&query).await.unwrap_err();
        assert!(runs(&fleet, mark) > 0, "{mark}: nothing ran, {error}");
        assert_ne!(error.ran(), Ran::No, "{mark}: {error}");
    }
}
