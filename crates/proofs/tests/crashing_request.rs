//! Containment of a request that crashes each target that runs it.

use std::time::Duration;

use egret_client::Query;
use egret_model::RefusalKind;
use egret_proofs::{Fleet, FleetSpec, assert_valid_answer};
use egret_standin::Behaviour;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Crashes that one fingerprint may cause in one service while its mark lasts.
const CRASHES_MAX: u64 = 2;

fn crashing_shape(replicas: usize) -> FleetSpec {
    let behaviour =
        Behaviour { crash_on: Some("crash-me".to_owned()), crash_ms: 1500, ..FleetSpec::default().behaviour };
    FleetSpec { services: 2, replicas, replicas_per_shard: replicas, behaviour, ..FleetSpec::default() }
}

async fn keep_asking(fleet: &Fleet, length: Duration) -> (Vec<RefusalKind>, usize, usize) {
    let query = Query::service("desk-00", "lookup", r#"{"crash-me":1}"#).unwrap();
    let end = Instant::now() + length;
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
    let (mut asked, mut short) = (0, 0);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        if let Ok(answer) = fleet.client().query_once(&fleet.lookup(number)).await {
            assert_valid_answer(fleet, number, &answer);
            asked += 1;
            short += usize::from(!answer.missing.is_empty());
            if let Some(missing) = answer.missing.first() {
                println!("short at {:?}: {} {}", started.elapsed(), missing.service, missing.cause);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    let kinds = crashers.join_all().await.into_iter().flatten().collect();
    (kinds, asked, short)
}

fn crashes(fleet: &Fleet, service: usize) -> u64 {
    fleet.targets[service].iter().map(egret_standin::Target::crashes).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_stops_after_two_crashes() {
    let fleet = Fleet::start(crashing_shape(2)).await;
    let (kinds, asked, short) = keep_asking(&fleet, Duration::from_secs(8)).await;
    let crashes = crashes(&fleet, 0);
    println!("crashes {crashes}, normal answers {asked}, short {short}");
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
    assert!(kinds.contains(&RefusalKind::Poison), "the caller was never told");
    assert!(asked > 100 && short * 10 <= asked, "{short} of {asked} normal answers were short");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_leaves_a_third_replica_alone() {
    let fleet = Fleet::start(crashing_shape(3)).await;
    let (kinds, asked, short) = keep_asking(&fleet, Duration::from_secs(5)).await;
    let crashes = crashes(&fleet, 0);
    println!("crashes {crashes}, normal answers {asked}, short {short}");
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
    assert!(kinds.contains(&RefusalKind::Poison), "the caller was never told");
    assert!(short * 10 <= asked, "{short} of {asked} normal answers were short");
}

/// A lost target takes innocent requests with it; they may run again soon.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_target_costs_full_coverage_for_at_most_three_seconds() {
    let fleet = Fleet::start(FleetSpec { services: 2, ..FleetSpec::default() }).await;
    fleet.targets[0][0].crash();
    let lost = Instant::now();
    let mut last_short = Duration::ZERO;
    while lost.elapsed() < Duration::from_secs(5) {
        match fleet.client().query_once(&fleet.lookup(1)).await {
            Ok(answer) if answer.missing.is_empty() => {}
            _ => last_short = lost.elapsed(),
        }
        sleep(Duration::from_millis(5)).await;
    }
    println!("last short answer after {last_short:?}");
    assert!(last_short < Duration::from_secs(3), "short answers until {last_short:?}");
}
