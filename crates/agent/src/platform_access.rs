//! Which agents talk to the platform, and when.

use std::time::Duration;

use egret_conf::{HostList, HostState};
use egret_model::{DataCentre, HostName};
use egret_policy::{RelayHost, owner_candidates};

/// Agents per data centre that hold a watch at the platform.
pub const WATCHERS_PER_DATA_CENTRE: usize = egret_policy::OWNER_CANDIDATES;

/// Silence after which an agent that holds no watch reads the platform itself.
pub(crate) const QUIET_AFTER: Duration = Duration::from_millis(3000);
/// The shortest time between two direct reads of one agent.
pub(crate) const READ_BACKOFF_FIRST: Duration = Duration::from_millis(1000);
/// The longest time between two direct reads of one agent.
pub(crate) const READ_BACKOFF_MAX: Duration = Duration::from_secs(30);
/// How long a watch waits before it is renewed.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// The pause between two watches of one key.
pub(crate) const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Peers that are told about news at once.
pub(crate) const PUSH_PEERS: usize = 4;

/// Tells whether an agent holds a watch, by its list of live hosts.
///
/// Watchers are chosen by rendezvous over the live hosts of a data centre, so
/// their number does not grow with the fleet. A host that is not listed yet
/// holds one, because nobody will tell it.
#[must_use]
pub fn is_watcher(host: &HostName, data_centre: &DataCentre, hosts: &HostList) -> bool {
    let listed = hosts.hosts.iter().filter_map(|other| {
        let live = other.state == HostState::Live && other.data_centre == *data_centre;
        let agent = other.agent.filter(|_| live)?;
        Some(RelayHost { host: other.name.clone(), data_centre: other.data_centre.clone(), relay: agent })
    });
    let listed: Vec<RelayHost> = listed.collect();
    if !listed.iter().any(|other| other.host == *host) {
        return true;
    }
    let block = egret_model::BlockName::new("platform-watch").expect("the name is valid");
    owner_candidates(&block, std::slice::from_ref(data_centre), &listed)
        .iter()
        .any(|watcher| watcher.host == *host)
}

/// Returns the time until the next direct read after `failures` failed ones, with jitter from 0 to 1.
pub(crate) fn read_backoff(failures: u32, jitter: f64) -> Duration {
    let base = READ_BACKOFF_FIRST * 2_u32.pow(failures.min(5));
    base.min(READ_BACKOFF_MAX).mul_f64(0.5 + jitter / 2.0)
}
