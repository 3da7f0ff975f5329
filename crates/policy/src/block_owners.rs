//! The relays that may own the connections of a block.

use std::net::SocketAddr;

use egret_model::{BlockName, DataCentre, HostName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of candidates of a block, the owner included.
pub const OWNER_CANDIDATES: usize = 3;

/// A host whose relay can own blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHost {
    /// The name of the host.
    pub host: HostName,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The address at which its relay listens.
    pub relay: SocketAddr,
}

/// Returns the candidates of a block, best first; the first live one owns the block.
///
/// With rendezvous hashing, only the blocks of a host move when it comes or goes.
/// Relays in a data centre of the block's replicas come before all others, so that
/// the last hop stays short; `data_centres` must be sorted. The candidates span as
/// many of these data centres as possible, because the loss of one data centre must
/// not take all candidates of a block that still has replicas elsewhere.
#[must_use]
pub fn owner_candidates(
    block: &BlockName,
    data_centres: &[DataCentre],
    hosts: &[RelayHost],
) -> Vec<RelayHost> {
    let ranked = ranked(block, data_centres, hosts);
    let mut chosen: Vec<usize> = Vec::with_capacity(OWNER_CANDIDATES);
    for (at, host) in ranked.iter().enumerate() {
        let is_near = data_centres.binary_search(&host.data_centre).is_ok();
        let is_new = chosen.iter().all(|&other| ranked[other].data_centre != host.data_centre);
        if is_near && is_new && chosen.len() < OWNER_CANDIDATES {
            chosen.push(at);
        }
    }
    let others: Vec<usize> = (0..ranked.len()).filter(|at| !chosen.contains(at)).collect();
    chosen.extend(others.into_iter().take(OWNER_CANDIDATES - chosen.len()));
    chosen.sort_unstable();
    chosen.into_iter().map(|at| ranked[at].clone()).collect()
}

/// Orders hosts for a block: those in data centres of its replicas first, each group by its hash.
fn ranked<'a>(block: &BlockName, data_centres: &[DataCentre], hosts: &'a [RelayHost]) -> Vec<&'a RelayHost> {
    let seed = xxh3_64_with_seed(block.as_str().as_bytes(), 0);
    let mut scored: Vec<(bool, u64, &RelayHost)> = hosts
        .iter()
        .map(|host| {
            let near = data_centres.binary_search(&host.data_centre).is_ok();
            (near, xxh3_64_with_seed(host.host.as_str().as_bytes(), seed), host)
        })
        .collect();
    scored.sort_by(|a, b| (b.0, b.1, &b.2.host).cmp(&(a.0, a.1, &a.2.host)));
    scored.into_iter().map(|(_, _, host)| host).collect()
}
