//! A request that crashes each target that runs it must not take down a whole service.
//!
//! Each crash also fails the other requests at that target. Without containment, retries and
//! repeated requests would crash one replica after the other.

use std::time::Duration;

use egret_client::Query;
use egret_model::RefusalKind;
use egret_proofs::{Fleet, FleetSpec, assert_valid_answer};
use egret_standin::Behaviour;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// The crashes that one request fingerprint may cause in one service until its suspect mark expires.
const CRASHES_MAX: u64 = 2;

fn crashing_shape(replicas: usize) -> FleetSpec {
    let behaviour =
        Behaviour { crash_on: Some("crash-me".to_owned()), crash_ms: 1500, ..FleetSpec::default().behaviour };
    FleetSpec { services: 2, replicas, replicas_per_shard: replicas, behaviour, ..FleetSpec::default() }
}

/// Sends the crashing request through every entry, and normal lookups beside it.
///
/// Returns the kinds of the crashing request's refusals, the number of answered lookups and
/// the number of those that missed a shard.
async fn send_crashing_and_normal(fleet: &Fleet, duration: Duration) -> (Vec<RefusalKind>, usize, usize) {
    let query = Query::service("desk-00", "lookup", r#"{"crash-me":1}"#).unwrap();
    let end = Instant::now() + duration;
    let mut crashers = JoinSet::new();
    for host in 0..fleet.spec().hosts {
        let (client, query) = (fleet.client_of(host), query.clone());
        crashers.spawn(async move {
            let mut kinds = Vec::new();
            while Instant::now() < end {
                kinds.extend(client.query_once(&query).await.err().and_then(|error| error.kind()));
                sleep(Duration::from_millis(30)).await;
            }
            kinds
        });
    }
    let started = Instant::now();
    let (mut answered, mut partial) = (0, 0);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        if let Ok(answer) = fleet.client().query_once(&fleet.lookup(number)).await {
            assert_valid_answer(fleet, number, &answer);
            answered += 1;
            partial += usize::from(!answer.missing.is_empty());
            if let Some(missing) = answer.missing.first() {
                println!("partial at {:?}: {} {}", started.elapsed(), missing.service, missing.cause);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    let kinds = crashers.join_all().await.into_iter().flatten().collect();
    (kinds, answered, partial)
}

fn crashes(fleet: &Fleet, service: usize) -> u64 {
    fleet.targets[service].iter().map(egret_standin::Target::crashes).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_stops_after_two_crashes() {
    let fleet = Fleet::start(crashing_shape(2)).await;
    let (kinds, answered, partial) = send_crashing_and_normal(&fleet, Duration::from_secs(8)).await;
    let crashes = crashes(&fleet, 0);
    println!("crashes {crashes}, normal answers {answered}, partial {partial}");
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
    assert!(kinds.contains(&RefusalKind::Poison), "no refusal had the kind poison");
    assert!(
        answered > 100 && partial * 10 <= answered,
        "{partial} of {answered} normal answers were partial"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_never_crashes_a_third_replica() {
    let fleet = Fleet::start(crashing_shape(3)).await;
    let (kinds, answered, partial) = send_crashing_and_normal(&fleet, Duration::from_secs(5)).await;
    let crashes = crashes(&fleet, 0);
    println!("crashes {crashes}, normal answers {answered}, partial {partial}");
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
    assert!(kinds.contains(&RefusalKind::Poison), "no refusal had the kind poison");
    assert!(partial * 10 <= answered, "{partial} of {answered} normal answers were partial");
}

/// Requests that were running on a crashed target are not at fault and may soon run again.
#[tokio::test(flavor = "multi_thread")]
async fn full_coverage_returns_within_three_seconds_of_a_target_crash() {
    let fleet = Fleet::start(FleetSpec { services: 2, ..FleetSpec::default() }).await;
    fleet.targets[0][0].crash();
    let lost = Instant::now();
    let mut last_partial = Duration::ZERO;
    while lost.elapsed() < Duration::from_secs(5) {
        match fleet.client().query_once(&fleet.lookup(1)).await {
            Ok(answer) if answer.missing.is_empty() => {}
            _ => last_partial = lost.elapsed(),
        }
        sleep(Duration::from_millis(5)).await;
    }
    println!("last partial answer or failure after {last_partial:?}");
    assert!(last_partial < Duration::from_secs(3), "partial answers or failures until {last_partial:?}");
}
