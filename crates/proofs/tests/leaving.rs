//! Promise 6: a target that is leaving receives no new work after a few seconds.

use std::time::Duration;

use egret_conf::{Host, HostState};
use egret_model::{DataCentre, HostName};
use egret_proofs::{Fleet, Role, Shape};
use egret_standin::{Behaviour, PlatformMode, Target};
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep};

/// The bound of the promise.
const LEAVES_WITHIN: Duration = Duration::from_millis(3000);

/// Asks for a while and returns what the target executed after the bound.
async fn work_after_bound(fleet: &Fleet, target: &Target, sign: Instant) -> usize {
    while sign.elapsed() < LEAVES_WITHIN {
        let _ = fleet.client().query_once(&fleet.lookup(1)).await;
        sleep(Duration::from_millis(10)).await;
    }
    let before = target.executions().len();
    while sign.elapsed() < LEAVES_WITHIN * 2 {
        let _ = fleet.client().query_once(&fleet.lookup(2)).await;
        sleep(Duration::from_millis(10)).await;
    }
    target.executions().len() - before
}

/// The target only says so on its health endpoint, and the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_is_left_with_the_platform_down() {
    let fleet = Fleet::start(Shape { services: 1, ..Shape::default() }).await;
    fleet.platform.set_mode(PlatformMode::Down);
    let target = &fleet.targets[0][0];
    // The stand-in accepts work, so that every request sent to it counts.
    target.set(Behaviour { health_drains: true, ..target.behaviour() });
    assert_eq!(work_after_bound(&fleet, target, Instant::now()).await, 0);
}

/// The host list says that the target's host leaves; the target itself says nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_on_a_leaving_host_is_left() {
    let fleet = Fleet::start(Shape { services: 1, ..Shape::default() }).await;
    let target = &fleet.targets[0][0];
    fleet.publish_hosts(|hosts| {
        hosts.hosts.push(Host {
            name: HostName::new("t-0-0").unwrap(),
            data_centre: DataCentre::new("seeb").unwrap(),
            state: HostState::Leaving,
            agent: None,
            relay: None,
            entry: None,
        });
    });
    assert_eq!(work_after_bound(&fleet, target, Instant::now()).await, 0);
    let answer = fleet.client().query_once(&fleet.lookup(3)).await.unwrap();
    assert!(answer.missing.is_empty(), "the other replica serves all shards");
}

/// The health endpoint says ready, while the target refuses work as draining.
#[tokio::test(flavor = "multi_thread")]
async fn a_misleading_health_report_does_not_bring_work_back() {
    let fleet = Fleet::start(Shape { services: 1, ..Shape::default() }).await;
    let target = &fleet.targets[0][0];
    target.set(Behaviour { draining: true, health_misleads: true, ..target.behaviour() });
    let sign = Instant::now();
    while sign.elapsed() < LEAVES_WITHIN {
        let _ = fleet.client().query_once(&fleet.lookup(1)).await;
    }
    // From now on the target would accept work again, so that every request sent to it counts.
    target.set(Behaviour { draining: false, ..target.behaviour() });
    let before = target.executions().len();
    let end = Instant::now() + LEAVES_WITHIN;
    while Instant::now() < end {
        let _ = fleet.client().query_once(&fleet.lookup(2)).await;
    }
    assert_eq!(target.executions().len() - before, 0);
}

/// A relay sleeps while a target starts to drain, and wakes up with old knowledge.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_wakes_up_asks_before_it_sends() {
    let fleet = Fleet::start(Shape { services: 1, hosts: 1, ..Shape::default() }).await;
    let target = &fleet.targets[0][0];
    fleet.signal(0, Role::Relay, Signal::SIGSTOP);
    let sign = Instant::now();
    // The stand-in accepts work, so that only the relay's own check keeps work away.
    target.set(Behaviour { health_drains: true, ..target.behaviour() });
    let before = target.executions().len();
    sleep(LEAVES_WITHIN + Duration::from_millis(500)).await;
    let mut asked = tokio::task::JoinSet::new();
    for number in 0..20 {
        let (client, query) = (fleet.client(), fleet.lookup(number));
        asked.spawn(async move { client.query_once(&query).await });
    }
    sleep(Duration::from_millis(200)).await;
    fleet.signal(0, Role::Relay, Signal::SIGCONT);
    asked.join_all().await;
    assert!(sign.elapsed() > LEAVES_WITHIN);
    assert_eq!(target.executions().len() - before, 0);
}
