//! Promise 6: a target that is leaving receives no new work after a few seconds.
//!
//! A target shows that it drains by its health or by refusing work; its host may also be
//! listed as leaving. Work could still reach it when the platform is down, when its health
//! contradicts its refusals, or when the relay that saw the signal is paused or lost.

use std::time::Duration;

use egret_conf::{Host, HostState};
use egret_model::{DataCentre, HostName};
use egret_proofs::{Fleet, FleetSpec, Role};
use egret_standin::{Behaviour, PlatformMode, Target};
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep};

/// The promised bound from the first sign of leaving until the target receives no new work.
const LEAVES_WITHIN: Duration = Duration::from_millis(3000);
/// Longer than any latency estimate is kept that makes a relay prefer another replica.
const SIGNAL_WITHIN: Duration = Duration::from_secs(20);

/// Sends four queries at once, more than one replica has slots for, so that all replicas are used.
async fn query_at_once(fleet: &Fleet, number: u64) {
    let (client, query) = (fleet.client(), fleet.lookup(number));
    let queries = (0..4).map(|_| client.query_once(&query));
    join_all(queries).await;
}

/// Sends queries for twice the bound; returns how many the target executed in the second half.
async fn executions_after_bound(fleet: &Fleet, target: &Target, signalled: Instant) -> usize {
    while signalled.elapsed() < LEAVES_WITHIN {
        query_at_once(fleet, 1).await;
        sleep(Duration::from_millis(10)).await;
    }
    let before = target.executions().len();
    while signalled.elapsed() < LEAVES_WITHIN * 2 {
        query_at_once(fleet, 2).await;
        sleep(Duration::from_millis(10)).await;
    }
    target.executions().len() - before
}

/// The target drains by its health endpoint only, and the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_work_with_the_platform_down() {
    let fleet = Fleet::start(FleetSpec { services: 1, ..FleetSpec::default() }).await;
    fleet.platform.set_mode(PlatformMode::Down);
    let target = &fleet.targets[0][0];
    // The stand-in still accepts work, so that every request sent to it is counted.
    target.set(Behaviour { health_drains: true, ..target.behaviour() });
    assert_eq!(executions_after_bound(&fleet, target, Instant::now()).await, 0);
}

/// The host list states that the target's host is leaving; the target itself gives no sign.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_on_a_leaving_host_gets_no_work() {
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
    assert_eq!(executions_after_bound(&fleet, target, Instant::now()).await, 0);
    let answer = fleet.client().query_once(&fleet.lookup(3)).await.unwrap();
    assert!(answer.missing.is_empty(), "the other replica does not serve all shards");
}

/// Makes a target refuse work as draining while its health says ready; returns its first refusal's time.
///
/// The promised bound starts with the first refusal, and a replica that gets no work refuses
/// none: a relay prefers a faster replica until its latency estimate of the other one expires.
async fn refuse_as_draining(fleet: &Fleet, target: &Target) -> Instant {
    target.set(Behaviour { draining: true, health_misleads: true, ..target.behaviour() });
    let deadline = Instant::now() + SIGNAL_WITHIN;
    while target.refused() == 0 {
        assert!(Instant::now() < deadline, "no relay sent work to the target within {SIGNAL_WITHIN:?}");
        query_at_once(fleet, 1).await;
    }
    Instant::now()
}

/// The target refuses work as draining while its health endpoint says ready: the refusal decides.
#[tokio::test(flavor = "multi_thread")]
async fn a_misleading_health_report_does_not_bring_work_back() {
    let fleet = Fleet::start(FleetSpec { services: 1, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    let signalled = refuse_as_draining(&fleet, target).await;
    // From now on the target accepts work again, so that every request sent to it is counted.
    target.set(Behaviour { draining: false, ..target.behaviour() });
    assert_eq!(executions_after_bound(&fleet, target, signalled).await, 0);
}

/// A relay is paused while a target starts to drain; its view of the target is old when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_relay_probes_targets_before_it_sends_work() {
    let fleet = Fleet::start(FleetSpec { services: 1, hosts: 1, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    fleet.signal(0, Role::Relay, Signal::SIGSTOP);
    let signalled = Instant::now();
    // The stand-in still accepts work, so that only the relay's probe keeps work away.
    target.set(Behaviour { health_drains: true, ..target.behaviour() });
    let before = target.executions().len();
    sleep(LEAVES_WITHIN + Duration::from_millis(500)).await;
    let mut queries = tokio::task::JoinSet::new();
    for number in 0..20 {
        let (client, query) = (fleet.client(), fleet.lookup(number));
        queries.spawn(async move { client.query_once(&query).await });
    }
    sleep(Duration::from_millis(200)).await;
    fleet.signal(0, Role::Relay, Signal::SIGCONT);
    queries.join_all().await;
    assert!(signalled.elapsed() > LEAVES_WITHIN);
    assert_eq!(target.executions().len() - before, 0);
}

/// Sends queries to one entry for the bound; returns the number of answers with full coverage.
async fn full_answers(fleet: &Fleet, host: usize) -> usize {
    let end = Instant::now() + LEAVES_WITHIN;
    let mut full = 0;
    while Instant::now() < end {
        let answer = fleet.client_of(host).query_once(&fleet.lookup(2)).await;
        full += usize::from(answer.is_ok_and(|answer| answer.missing.is_empty()));
    }
    full
}

/// A target refuses work as draining, then the relay on `host` is killed.
///
/// The stand-in's health says ready, so that only what the relays told each other can keep
/// work away. Two tests call this, since either relay may be the one that got the refusal.
async fn drain_signal_outlives_the_relay_of(host: usize) {
    let fleet = Fleet::start(FleetSpec { services: 1, hosts: 2, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    let signalled = refuse_as_draining(&fleet, target).await;
    tokio::time::sleep_until(signalled + Duration::from_secs(1)).await;
    target.set(Behaviour { draining: false, ..target.behaviour() });
    let before = target.executions().len();
    fleet.signal(host, Role::Relay, Signal::SIGKILL);
    assert!(full_answers(&fleet, 1 - host).await > 0, "the other relay does not answer in full");
    assert_eq!(target.executions().len() - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_signal_outlives_the_first_relay() {
    drain_signal_outlives_the_relay_of(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_signal_outlives_the_second_relay() {
    drain_signal_outlives_the_relay_of(1).await;
}

/// The relay on `host` is paused during a target's refusal; the relay that got it is killed afterwards.
async fn drain_signal_reaches_the_paused_relay_of(host: usize) {
    let fleet = Fleet::start(FleetSpec { services: 1, hosts: 2, ..FleetSpec::default() }).await;
    let target = &fleet.targets[0][0];
    fleet.signal(host, Role::Relay, Signal::SIGSTOP);
    let signalled = refuse_as_draining(&fleet, target).await;
    target.set(Behaviour { draining: false, ..target.behaviour() });
    tokio::time::sleep_until(signalled + LEAVES_WITHIN).await;
    let before = target.executions().len();
    fleet.signal(host, Role::Relay, Signal::SIGCONT);
    sleep(Duration::from_millis(1000)).await;
    fleet.signal(1 - host, Role::Relay, Signal::SIGKILL);
    assert!(full_answers(&fleet, host).await > 0, "the resumed relay does not answer in full");
    assert_eq!(target.executions().len() - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_signal_reaches_the_first_relay_after_a_pause() {
    drain_signal_reaches_the_paused_relay_of(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_signal_reaches_the_second_relay_after_a_pause() {
    drain_signal_reaches_the_paused_relay_of(1).await;
}
