//! Which relays may own the connections of a block.

use std::net::SocketAddr;

use egret_model::{BlockName, DataCentre, HostName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Relays that stand by for one block, the owner included.
pub const CANDIDATES: usize = 3;

/// A host whose relay can own blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHost {
    /// The host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where its relay listens.
    pub relay: SocketAddr,
}

/// Returns a block's candidates, best first.
///
/// Rendezvous hashing moves only the blocks of a host that comes or goes.
/// Relays in a data centre of the block's replicas go before all others, so that
/// the last hop stays short; `data_centres` must be sorted. The first candidate
/// that lives owns the block.
#[must_use]
pub fn candidates(block: &BlockName, data_centres: &[DataCentre], hosts: &[RelayHost]) -> Vec<RelayHost> {
    let seed = xxh3_64_with_seed(block.as_str().as_bytes(), 0);
    let mut scored: Vec<(bool, u64, &RelayHost)> = hosts
        .iter()
        .map(|host| {
            let near = data_centres.binary_search(&host.data_centre).is_ok();
            (near, xxh3_64_with_seed(host.host.as_str().as_bytes(), seed), host)
        })
        .collect();
    scored.sort_by(|a, b| (b.0, b.1, &b.2.host).cmp(&(a.0, a.1, &a.2.host)));
    scored.into_iter().take(CANDIDATES).map(|(_, _, host)| host.clone()).collect()
}
