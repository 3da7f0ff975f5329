//! Promises 2 and 3: the stated coverage is true, and an answer belongs to the caller's query.
//!
//! They threaten to break when targets truncate replies or answer another query, when a relay
//! dies with queries in flight, and when a hedge makes two targets answer for one shard.

use std::{sync::Arc, time::Duration};

use egret_proofs::{Fleet, FleetSpec, Role, assert_valid_answer};
use egret_standin::Behaviour;
use nix::sys::signal::Signal;
use tokio::{task::JoinSet, time::sleep};

/// Sends lookups from several callers and verifies each answer.
///
/// Returns the number of answers and the number of partial ones.
async fn query_many(fleet: &Arc<Fleet>, callers: u64, queries: u64, budget: Duration) -> (usize, usize) {
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let fleet = Arc::clone(fleet);
        tasks.spawn(async move {
            let client = fleet.client();
            let (mut answered, mut partial) = (0, 0);
            for query in 0..queries {
                let number = caller * 1000 + query;
                if let Ok(answer) = client.query_once(&fleet.lookup(number).budget(budget)).await {
                    assert_valid_answer(&fleet, number, &answer);
                    answered += 1;
                    partial += usize::from(!answer.missing.is_empty());
                }
            }
            (answered, partial)
        });
    }
    let ended = tasks.join_all().await;
    ended.into_iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

/// One target each truncates its replies, answers another query, is often late, and sheds all work.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_true_with_faulty_targets() {
    let spec =
        FleetSpec { services: 4, shards: 4, replicas: 3, replicas_per_shard: 2, ..FleetSpec::default() };
    let usual = spec.behaviour.clone();
    let fleet = Arc::new(Fleet::start(spec).await);
    fleet.targets[0][0].set(Behaviour { truncates: true, ..usual.clone() });
    fleet.targets[1][0].set(Behaviour { confuses: true, ..usual.clone() });
    fleet.targets[2][0].set(Behaviour { slow_share: 0.3, slow_factor: 200.0, ..usual.clone() });
    fleet.targets[3][0].set(Behaviour { sheds: true, ..usual });
    let (answered, _) = query_many(&fleet, 6, 25, Duration::from_millis(300)).await;
    assert!(answered > 100, "only {answered} of 150 queries were answered");
}

/// Two relays are killed in turn while callers send queries through all entries.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_true_while_relays_are_killed() {
    let fleet = Arc::new(Fleet::start(FleetSpec { services: 6, ..FleetSpec::default() }).await);
    let faulty = Arc::clone(&fleet);
    let killer = tokio::spawn(async move {
        for host in 0..2 {
            sleep(Duration::from_millis(300)).await;
            faulty.signal(host, Role::Relay, Signal::SIGKILL);
            sleep(Duration::from_millis(500)).await;
            faulty.start_daemon(host, Role::Relay);
            sleep(Duration::from_millis(700)).await;
        }
    });
    let (answered, partial) = query_many(&fleet, 4, 120, Duration::from_millis(1000)).await;
    killer.await.unwrap();
    assert!(answered >= 470, "only {answered} of 480 queries were answered");
    assert!(partial <= 24, "{partial} answers were partial");
}

/// Slow replies cause hedges, so that two targets answer for the same shards.
#[tokio::test(flavor = "multi_thread")]
async fn hedged_answers_are_complete_and_have_no_duplicates() {
    let spec = FleetSpec { services: 2, hedge_percent: 100.0, slots: 4, ..FleetSpec::default() };
    let usual = Behaviour { slots: 4, slow_share: 0.1, slow_factor: 30.0, ..spec.behaviour.clone() };
    let fleet = Arc::new(Fleet::start(FleetSpec { behaviour: usual, ..spec }).await);
    let (answered, partial) = query_many(&fleet, 4, 60, Duration::from_millis(2000)).await;
    let mut hedges = 0.0;
    for host in 0..fleet.spec().hosts {
        hedges += fleet.metric(host, Role::Relay, "egret_target_hedges_total").await;
    }
    assert_eq!((answered, partial), (240, 0));
    assert!(hedges > 0.0, "no hedge was sent");
}
