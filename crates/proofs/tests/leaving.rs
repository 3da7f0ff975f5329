//! Promise 6: a target that is leaving receives no new work after a few seconds.

use std::time::Duration;

use egret_conf::{Host, HostState};
use egret_model::{DataCentre, HostName};
use egret_proofs::{Fleet, FleetSpec, Role};
use egret_standin::{Behaviour, PlatformMode, Target};
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep};

/// The bound of the promise.
const LEAVES_WITHIN: Duration = Duration::from_millis(3000);
/// Longer than any estimate that keeps a relay from asking a replica.
const SIGN_WITHIN: Duration = Duration::from_secs(20);

/// Asks more than one replica has slots for, so that every live replica is wanted.
async fn ask_at_once(fleet: &Fleet, number: u64) {
    let (client, query) = (fleet.client(), fleet.lookup(number));
    let asked = (0..4).map(|_| client.query_once(&query));
    join_all(asked).await;
}

/// Asks for a while and returns what the target executed after the bound.
async fn work_after_bound(fleet: &Fleet, target: &Target, sign: Instant) -> usize {
    while sign.elapsed() < LEAVES_WITHIN {
        ask_at_once(fleet, 1).await;
        sleep(Duration::from_millis(10)).await;
    }
    let before = target.executions().len();
    while sign.elapsed() < LEAVES_WITHIN * 2 {
        ask_at_once(fleet, 2).await;
        sleep(Duration::from_millis(10)).await;
    }
    target.executions().len() - before
}

/// The target only says so on its health endpoint, and the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_is_left_with_the_platform_down() {
    let fleet = Fleet::start(FleetSpec { services: 1, ..FleetSpec::default() }).await;
    fleet.platform.set_mode(PlatformMode::Down);
    let target = &fleet.targets[0][0];
    // The stand-in accepts work, so that every request sent to it counts.
    target.set(Behaviour { health_drains: true, ..target.behaviour() });
    assert_eq!(work_after_bound(&fleet, target, Instant::now()).await, 0);
}

/// The host list says that the target's host leaves; the target itself says nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_on_a_leaving_host_is_left() {
    let fleet = Fleet::start(FleetSpec { services: 1, ..FleetSpec::default() }).await;
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

/// Lets a target refuse work as draining while its health says ready, and asks until it did.
///
/// A replica that is not asked gives no sign: relays prefer a faster one while their
/// estimate of the other lasts. The bound of the promise begins with the first sign.
async fn refuse_as_draining(fleet: &Fleet, target: &Target) -> Instant {
    target.set(Behaviour { draining: true, health_misleads: true, ..target.behaviour() });
    let deadline = Instant::now() + SIGN_WITHIN;
    while target.refused() == 0 {
        assert!(Instant::now() < deadline, "no relay asked the target");
        ask_at_once(fleet, 1).await;
    }
    Instant::now()
}

/// The health endpoint says ready, while the target refuses work as draining.
#[tokio::test(flavor = "multi_thread")]
async fn a_misleading_health_report_does_not_bring_work_back() {
    let fleet = Fleet::start(FleetSpec { services: 1, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    let sign = refuse_as_draining(&fleet, target).await;
    // From now on the target would accept work again, so that every request sent to it counts.
    target.set(Behaviour { draining: false, ..target.behaviour() });
    assert_eq!(work_after_bound(&fleet, target, sign).await, 0);
}

/// A relay sleeps while a target starts to drain, and wakes up with old knowledge.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_wakes_up_asks_before_it_sends() {
    let fleet = Fleet::start(FleetSpec { services: 1, hosts: 1, ..FleetSpec::default() }).await;
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

/// Asks one entry for a while and returns how many answers were whole.
async fn whole_answers(fleet: &Fleet, host: usize) -> usize {
    let end = Instant::now() + LEAVES_WITHIN;
    let mut whole = 0;
    while Instant::now() < end {
        let answer = fleet.client_of(host).query_once(&fleet.lookup(2)).await;
        whole += usize::from(answer.is_ok_and(|answer| answer.missing.is_empty()));
    }
    whole
}

/// A target refuses work as draining, then the relay that was told so is lost.
///
/// The stand-in's health says ready, so only the lost relay's word keeps work away.
async fn a_sign_outlives_the_relay_of(host: usize) {
    let fleet = Fleet::start(FleetSpec { services: 1, hosts: 2, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    let sign = refuse_as_draining(&fleet, target).await;
    tokio::time::sleep_until(sign + Duration::from_secs(1)).await;
    target.set(Behaviour { draining: false, ..target.behaviour() });
    let before = target.executions().len();
    fleet.signal(host, Role::Relay, Signal::SIGKILL);
    assert!(whole_answers(&fleet, 1 - host).await > 0, "the other relay serves all shards");
    assert_eq!(target.executions().len() - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sign_of_leaving_outlives_the_first_relay() {
    a_sign_outlives_the_relay_of(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sign_of_leaving_outlives_the_second_relay() {
    a_sign_outlives_the_relay_of(1).await;
}

/// The relay that heard the sign is lost when another one wakes up that slept meanwhile.
async fn a_sign_reaches_the_relay_that_slept_at(host: usize) {
    let fleet = Fleet::start(FleetSpec { services: 1, hosts: 2, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    fleet.signal(host, Role::Relay, Signal::SIGSTOP);
    let sign = refuse_as_draining(&fleet, target).await;
    target.set(Behaviour { draining: false, ..target.behaviour() });
    tokio::time::sleep_until(sign + LEAVES_WITHIN).await;
    let before = target.executions().len();
    fleet.signal(host, Role::Relay, Signal::SIGCONT);
    sleep(Duration::from_millis(1000)).await;
    fleet.signal(1 - host, Role::Relay, Signal::SIGKILL);
    assert!(whole_answers(&fleet, host).await > 0, "the woken relay serves all shards");
    assert_eq!(target.executions().len() - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sign_reaches_a_first_relay_that_slept() {
    a_sign_reaches_the_relay_that_slept_at(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sign_reaches_a_second_relay_that_slept() {
    a_sign_reaches_the_relay_that_slept_at(1).await;
}
