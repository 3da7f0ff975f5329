//! Promise 8: an accepted configuration is in force everywhere within seconds and never reverts.
//!
//! Reverts threaten when the platform or a peer serves an older value, or when a daemon
//! restarts without a version; delays when agents cannot reach the platform.

use std::time::Duration;

use egret_proofs::{Fleet, FleetSpec, Forwarder, LinkMode, Role, VersionHistory};
use egret_standin::PlatformMode;
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep};

/// The promised bound from the publishing of a version until all daemons have it in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
const VERSION_METRIC: &str = "egret_config_version";

async fn versions(fleet: &Fleet) -> Vec<u64> {
    let mut versions = Vec::new();
    for host in 0..fleet.spec().hosts {
        for role in [Role::Relay, Role::Entry] {
            versions.push(fleet.metric(host, role, VERSION_METRIC).await as u64);
        }
    }
    versions
}

async fn wait_in_force(fleet: &Fleet, version: u64) {
    watch_until_in_force(fleet, version, |_| ()).await;
}

/// Waits until all daemons have a version in force, and passes each reading of all versions to `note`.
async fn watch_until_in_force(fleet: &Fleet, version: u64, mut note: impl FnMut(&[u64])) {
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    loop {
        let versions = versions(fleet).await;
        note(&versions);
        if versions.iter().all(|v| *v == version) {
            return;
        }
        assert!(Instant::now() < deadline, "version {version} is not in force everywhere: {versions:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_in_time() {
    let fleet = Fleet::start(FleetSpec { hosts: 6, ..FleetSpec::default() }).await;
    for _ in 0..4 {
        let version = fleet.publish(|declared| declared.spec.slots += 1);
        wait_in_force(&fleet, version).await;
    }
}

/// The platform alternates between stale values and outages; no process returns to an older version.
#[tokio::test(flavor = "multi_thread")]
async fn versions_never_revert_while_the_platform_flaps() {
    let fleet = Fleet::start(FleetSpec { hosts: 4, ..FleetSpec::default() }).await;
    let mut history = VersionHistory::starting_at(versions(&fleet).await.len(), 1);
    for round in 0..6 {
        history.begin_publish(round + 2);
        let version = fleet.publish(|declared| declared.spec.slots += 1);
        assert_eq!(version, round + 2);
        watch_until_in_force(&fleet, version, |versions| history.record_reads(versions)).await;
        history.end_publish(version);
        let stale = if round % 2 == 0 { PlatformMode::Stale } else { PlatformMode::Down };
        fleet.platform.set_mode(stale);
        for _ in 0..8 {
            history.record_reads(&versions(&fleet).await);
            sleep(Duration::from_millis(50)).await;
        }
        fleet.platform.set_mode(PlatformMode::Up);
    }
    assert_eq!(history.verify(), Ok(()));
}

/// The daemons of a host restart while the platform serves the old version; the peers have the newer one.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_learns_the_newest_version_from_its_peers() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    let version = fleet.publish(|declared| declared.spec.slots += 1);
    wait_in_force(&fleet, version).await;
    fleet.platform.set_mode(PlatformMode::Stale);
    for role in [Role::Agent, Role::Relay, Role::Entry] {
        fleet.signal(0, role, Signal::SIGKILL);
    }
    sleep(Duration::from_millis(200)).await;
    for role in [Role::Agent, Role::Relay, Role::Entry] {
        fleet.start_daemon(0, role);
    }
    for role in [Role::Agent, Role::Relay, Role::Entry] {
        fleet.wait_daemon_ready(0, role).await;
    }
    assert_eq!(versions(&fleet).await, vec![version; 6]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_starts_from_its_peers_while_the_platform_is_down() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    fleet.platform.set_mode(PlatformMode::Down);
    for role in [Role::Agent, Role::Relay, Role::Entry] {
        fleet.signal(1, role, Signal::SIGKILL);
    }
    sleep(Duration::from_millis(200)).await;
    for role in [Role::Agent, Role::Relay, Role::Entry] {
        fleet.start_daemon(1, role);
    }
    for role in [Role::Agent, Role::Relay, Role::Entry] {
        fleet.wait_daemon_ready(1, role).await;
    }
    let answer = fleet.client_of(1).query(&fleet.lookup(1)).await.unwrap();
    assert!(answer.missing.is_empty());
}

/// Half of the agents cannot reach the platform and get the version from the others.
#[tokio::test(flavor = "multi_thread")]
async fn agents_cut_off_from_the_platform_get_versions_from_peers() {
    let spec = FleetSpec { hosts: 6, ..FleetSpec::default() };
    let mut fleet = Fleet::prepare(spec, |platform| platform).await;
    let mut forwarders = Vec::new();
    for host in 0..3 {
        let forwarder = Forwarder::bind(fleet.spare_address(host as u16), fleet.platform.address()).await;
        fleet.set_platform_address(host, forwarder.address());
        forwarders.push(forwarder);
    }
    fleet.start_daemons();
    fleet.wait_ready().await;
    for (number, forwarder) in forwarders.iter().enumerate() {
        forwarder.set(if number % 2 == 0 { LinkMode::Cut } else { LinkMode::Silent });
    }
    let version = fleet.publish(|declared| declared.spec.slots += 1);
    wait_in_force(&fleet, version).await;
}

/// Two publishers publish different contents as one version; every agent ends with the same content.
#[tokio::test(flavor = "multi_thread")]
async fn racing_publishers_of_one_version_leave_one_content() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    let version = fleet.publish(|declared| declared.spec.slots += 1);
    let declared = fleet.declared.lock().unwrap().clone();
    let mut other = declared.clone();
    other.spec.slots += 5;
    let (one, two) = (declared.config(version), other.config(version));
    egret_standin::publish_config(&fleet.platform, &two, None);
    wait_in_force(&fleet, version).await;
    let newest = one.root().max(two.root());
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    loop {
        let mut roots = Vec::new();
        for host in 0..3 {
            roots.push(agent_root(&fleet, host).await);
        }
        if roots.iter().all(|root| *root == Some(newest)) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the content hashes of the agents are {roots:?}, not all {newest}"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

async fn agent_root(fleet: &Fleet, host: usize) -> Option<egret_conf::ContentHash> {
    let client = egret_node::HttpClient::open(1);
    let query = egret_wire::StateQuery::default();
    let address = fleet.address(host, Role::Agent);
    let state: Result<Option<egret_wire::LocalState>, _> =
        client.post_msgpack(address, egret_wire::STATE_PATH, &query, Duration::from_secs(2)).await;
    Some(state.ok()??.root)
}

/// Only three agents per data centre watch the platform, so that its load does not grow with the hosts.
#[tokio::test(flavor = "multi_thread")]
async fn platform_calls_stay_within_the_budget() {
    let fleet = Fleet::start(FleetSpec { hosts: 12, services: 1, ..FleetSpec::default() }).await;
    sleep(Duration::from_secs(2)).await;
    let before = fleet.platform.calls();
    let seconds = 6;
    sleep(Duration::from_secs(seconds)).await;
    let rate = (fleet.platform.calls() - before) as f64 / seconds as f64;
    // 9 watchers renew 2 watches every 2 s: 9 calls a second, whatever the number of hosts.
    println!("platform calls per second with 12 hosts: {rate:.1}");
    assert!(rate <= 18.0, "{rate} calls a second");
}
