//! Which hosts ask the targets of a gather, for all hosts of a data centre.

use std::{net::SocketAddr, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

/// A host that may gather.
#[derive(Clone, Debug)]
pub struct GathererCandidate {
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Processor time that it may use, in thousandths of a core.
    pub millicores: u32,
    /// Parts of gathers that it asks targets for, a second.
    pub parts_per_s: u32,
}

/// Hosts of a data centre that gather, at least: one may be lost.
const GATHERERS_MIN: usize = 2;
/// Processor time of the gatherers of a data centre, at least, in thousandths of a core.
const MILLICORES_MIN: f64 = 500.0;
/// Processor time of one part, in thousandths of a core a second; measured on the bench.
const MILLICORES_PER_PART: f64 = 0.08;
/// The share of their time that gatherers spend on parts, at most, so that bursts pass quickly.
const UTILISATION_MAX: f64 = 0.3;

/// Returns the hosts of a data centre that gather, those with most processor time first.
///
/// Few hosts hold the connections and see the load of the targets, so they choose better
/// than many that see little each; their number grows with the parts that all hosts ask for.
/// Among equal hosts the choice is by rendezvous hashing, and changes little as hosts come
/// and go.
#[must_use]
pub fn choose_gatherers(hosts: &[GathererCandidate], data_centre: &str) -> Vec<SocketAddr> {
    let mut candidates: Vec<&GathererCandidate> =
        hosts.iter().filter(|host| *host.data_centre == *data_centre).collect();
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

/// Returns the processor time that each data centre with gatherers has to bring.
fn millicores_needed(hosts: &[GathererCandidate]) -> f64 {
    let parts: f64 = hosts.iter().map(|host| f64::from(host.parts_per_s)).sum();
    let mut gathering: Vec<&str> =
        hosts.iter().filter(|host| host.parts_per_s > 0).map(|host| &*host.data_centre).collect();
    gathering.sort_unstable();
    gathering.dedup();
    let share = parts / gathering.len().max(1) as f64;
    (share * MILLICORES_PER_PART / UTILISATION_MAX).max(MILLICORES_MIN)
}
