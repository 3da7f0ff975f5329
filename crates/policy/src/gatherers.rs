//! The choice of the gatherers of a data centre: the hosts that ask its targets on behalf of all hosts.

use std::{net::SocketAddr, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

/// A host that may be chosen as a gatherer.
#[derive(Clone, Debug)]
pub struct GathererCandidate {
    /// The address at which other hosts reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The processor time that it may use, in thousandths of a core.
    pub millicores: u32,
    /// The rate at which it asks targets for parts of gathers, per second.
    pub parts_per_s: u32,
    /// Whether it reaches any target; one that does not cannot gather.
    pub reaches_targets: bool,
}

/// The least number of gatherers of a data centre: one may be lost.
const GATHERERS_MIN: usize = 2;
/// The least processor time of the gatherers of a data centre together, in thousandths of a core.
const GATHERER_MILLICORES_MIN: f64 = 500.0;
/// The processor time that a rate of one part per second takes, in thousandths of a core.
const MILLICORES_PER_PART: f64 = 0.08;
/// The utilisation by parts at which gatherers are sized, low enough for bursts to pass quickly.
const UTILISATION_MAX: f64 = 0.3;

/// Chooses the gatherers of a data centre, the hosts with most processor time first.
///
/// Only a few hosts hold the connections to the targets, because they see more of the targets' load
/// than many hosts would see each, and so choose replicas better. Their number grows with the parts
/// that all hosts ask for. Hosts of equal processor time are ordered by rendezvous hashing, so that the
/// choice changes little as hosts come and go.
#[must_use]
pub fn choose_gatherers(hosts: &[GathererCandidate], data_centre: &str) -> Vec<SocketAddr> {
    let mut candidates: Vec<&GathererCandidate> =
        hosts.iter().filter(|host| *host.data_centre == *data_centre && host.reaches_targets).collect();
    candidates.sort_by_cached_key(|host| {
        std::cmp::Reverse((host.millicores, xxh3_64(host.address.to_string().as_bytes())))
    });
    let needed = millicores_needed(hosts);
    let mut found = 0.0;
    let mut chosen = Vec::new();
    for host in candidates {
        if found >= needed && chosen.len() >= GATHERERS_MIN {
            break;
        }
        found += f64::from(host.millicores);
        chosen.push(host.address);
    }
    chosen
}

/// Returns the processor time that the gatherers of each data centre need together, in thousandths of a
/// core. The parts count as spread evenly over the data centres that gather now.
fn millicores_needed(hosts: &[GathererCandidate]) -> f64 {
    let parts: f64 = hosts.iter().map(|host| f64::from(host.parts_per_s)).sum();
    let mut gathering: Vec<&str> =
        hosts.iter().filter(|host| host.parts_per_s > 0).map(|host| &*host.data_centre).collect();
    gathering.sort_unstable();
    gathering.dedup();
    let share = parts / gathering.len().max(1) as f64;
    (share * MILLICORES_PER_PART / UTILISATION_MAX).max(GATHERER_MILLICORES_MIN)
}
