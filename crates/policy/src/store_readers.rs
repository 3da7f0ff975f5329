//! The choice of the hosts that read the platform's store on behalf of all hosts.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

/// The least number of readers: one may be lost or cut off.
const READERS_MIN: usize = 2;
/// The backoff after a first failed call; each further failure doubles it.
const BACKOFF_FIRST: Duration = Duration::from_millis(200);
const BACKOFF_DOUBLINGS_MAX: u32 = 2;
/// The number of hosts up to which hosts that are not readers use the same backoff as readers. In a
/// larger fleet they wait in proportion longer, so that the load on a store that is down does not grow
/// with the fleet.
const UNSCALED_BACKOFF_HOSTS: f64 = 30.0;
/// The longest backoff; a host that is cut off from all others notices a store's return no later.
const BACKOFF_MAX: Duration = Duration::from_millis(4000);

/// Returns the number of readers in a fleet of this many hosts.
///
/// The number grows with the square root of the fleet, so that neither the calls to the store nor
/// the hosts that ask each reader grow as fast as the fleet.
#[must_use]
pub fn store_reader_count(hosts: usize) -> usize {
    let third_of_root = (hosts as f64).sqrt() / 3.0;
    (third_of_root.ceil() as usize).max(READERS_MIN)
}

/// Chooses the readers among the hosts that are not suspected to be down, by rendezvous hashing.
///
/// Each host comes with whether the store answers it. A host that the store turns away is replaced,
/// however many were already: if the store answers only one host, that one must read for all. Where
/// it answers none, the first ones keep trying. Hosts that disagree about which hosts are live only
/// cause more reads, or fewer until the age of what they know makes every host read for itself.
#[must_use]
pub fn store_readers(hosts: impl IntoIterator<Item = (SocketAddr, bool)>) -> Vec<SocketAddr> {
    let score = |host: &(SocketAddr, bool)| std::cmp::Reverse(xxh3_64(host.0.to_string().as_bytes()));
    let mut all: Vec<(SocketAddr, bool)> = hosts.into_iter().collect();
    all.sort_by_cached_key(score);
    let needed = store_reader_count(all.len());
    let able: Vec<SocketAddr> = all.iter().filter(|host| host.1).map(|host| host.0).collect();
    let mut chosen = if able.is_empty() { all.into_iter().map(|host| host.0).collect() } else { able };
    chosen.truncate(needed);
    chosen
}

/// Returns the mean backoff of a host after a failed call to the store.
///
/// While the store is down, what the hosts know grows old and all of them call it; their calls must
/// not keep it down.
#[must_use]
pub fn store_retry_backoff(failures: u32, hosts: usize, is_reader: bool) -> Duration {
    let backoff = BACKOFF_FIRST * 2_u32.pow(failures.min(BACKOFF_DOUBLINGS_MAX));
    let factor = if is_reader { 1.0 } else { (hosts as f64 / UNSCALED_BACKOFF_HOSTS).max(1.0) };
    backoff.mul_f64(factor).min(BACKOFF_MAX)
}
