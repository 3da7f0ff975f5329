//! Counts the bytes of control traffic on simulated fleets with a paused clock.
//!
//! Only bodies are counted; docs/CAPACITY.md adds the HTTP heads. Fleets of hundreds of
//! hosts are feasible, because nothing waits in real time.

use std::time::Duration;

use egret_proofs::{FleetSpec, SimulatedFleet};
use egret_wire::{HEALTH_PATH, HOSTS_KEY, NOTICE_PATH, PEER_PATH};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep},
};

const HOSTS: [usize; 4] = [10, 40, 160, 550];
const WARM_UP: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(20);
const CHANGES: u32 = 10;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The control traffic of one fleet size.
struct Cost {
    hosts: usize,
    /// Bytes a second and agent that agents exchange with peers without changes.
    idle_peer: f64,
    /// Bytes a second and relay of health probes.
    idle_probe: f64,
    /// Bytes a second and relay of notices without changes.
    idle_notice: f64,
    /// Bytes that a change of one host adds, per agent.
    hosts_change: f64,
    /// Bytes of the whole host list.
    hosts_list: u64,
    /// The time until a published version is in force at all entries.
    in_force: Duration,
}

/// Measures all fleet sizes and prints a table.
pub(crate) fn run() {
    println!(
        "| hosts | peer bodies, B/s an agent | probe bodies, B/s a relay | notices, B/s a relay | a change of one host, B an agent | the whole list, B | a version in force everywhere, ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for hosts in HOSTS {
        let cost = measure(hosts);
        println!(
            "| {} | {:.0} | {:.0} | {:.1} | {:.0} | {} | {} |",
            cost.hosts,
            cost.idle_peer,
            cost.idle_probe,
            cost.idle_notice,
            cost.hosts_change,
            cost.hosts_list,
            cost.in_force.as_millis()
        );
    }
}

fn measure(hosts: usize) -> Cost {
    fastrand::seed(1);
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().expect("a runtime");
    runtime.block_on(async {
        let mut fleet = SimulatedFleet::start(FleetSpec { hosts, services: 10, ..FleetSpec::default() });
        sleep(WARM_UP).await;
        let bytes = |fleet: &SimulatedFleet, path| fleet.traffic(path).body_bytes;
        let before = [PEER_PATH, HEALTH_PATH, NOTICE_PATH].map(|path| bytes(&fleet, path));
        sleep(LENGTH).await;
        let after = [PEER_PATH, HEALTH_PATH, NOTICE_PATH].map(|path| bytes(&fleet, path));
        let rate = |at: usize| (after[at] - before[at]) as f64 / LENGTH.as_secs_f64() / hosts as f64;
        for number in 0..CHANGES {
            fleet.publish_hosts(|list| list.hosts[number as usize % hosts].state = alternating_state(number));
            sleep(LENGTH / CHANGES).await;
        }
        let changed = bytes(&fleet, PEER_PATH) - after[0];
        let idle = rate(0) * LENGTH.as_secs_f64() * hosts as f64;
        let in_force = time_until_in_force(&mut fleet).await;
        let list = fleet.platform.value_bytes(HOSTS_KEY);
        Cost {
            hosts,
            idle_peer: rate(0),
            idle_probe: rate(1),
            idle_notice: rate(2),
            hosts_change: (changed as f64 - idle) / f64::from(CHANGES) / hosts as f64,
            hosts_list: list,
            in_force,
        }
    })
}

/// Publishes a version; returns the time until every entry has it in force.
async fn time_until_in_force(fleet: &mut SimulatedFleet) -> Duration {
    let version = fleet.publish(|declared| declared.spec.slots += 1);
    let published = Instant::now();
    while fleet.versions().iter().any(|seen| *seen != version) {
        sleep(POLL_INTERVAL).await;
    }
    published.elapsed()
}

fn alternating_state(number: u32) -> egret_conf::HostState {
    if number.is_multiple_of(2) { egret_conf::HostState::Leaving } else { egret_conf::HostState::Live }
}
