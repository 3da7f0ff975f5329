//! Which hosts read the platform's store for all.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Hosts that read the store for all, at least: one may be lost or cut off.
const READERS_MIN: usize = 2;

/// Returns how many hosts of a fleet read the store for all.
///
/// It grows with the square root of the fleet, so that neither the store's calls nor the
/// hosts that ask one reader grow as fast as the fleet.
#[must_use]
pub fn readers_of(hosts: usize) -> usize {
    let third_of_root = (hosts as f64).sqrt() / 3.0;
    (third_of_root.ceil() as usize).max(READERS_MIN)
}

/// Returns the readers among the live hosts, by rendezvous hashing.
///
/// Hosts that disagree about who lives only cause more reads, or fewer until the age of
/// the news makes every host read for itself.
#[must_use]
pub fn readers(live: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let score = |address: &SocketAddr| std::cmp::Reverse(xxh3_64(address.to_string().as_bytes()));
    let mut hosts: Vec<SocketAddr> = live.into_iter().collect();
    hosts.sort_by_cached_key(score);
    hosts.truncate(readers_of(hosts.len()));
    hosts
}
