//! Which hosts read the platform's store for all.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

/// Hosts that read the store for all, at least: one may be lost or cut off.
const READERS_MIN: usize = 2;
/// The pause after a failed call, doubled with each further one.
const RETRY_FIRST: Duration = Duration::from_millis(200);
const RETRY_DOUBLINGS_MAX: u32 = 2;
/// Hosts for which the last pause is right where none of them is a reader; more wait longer, so
/// that the store's load while it is down does not grow with the fleet.
const RETRYING_HOSTS: f64 = 30.0;
/// The longest pause; a host that is cut off from all others learns no later of a store's return.
const RETRY_MAX: Duration = Duration::from_millis(4000);

/// Returns how many hosts of a fleet read the store for all.
///
/// It grows with the square root of the fleet, so that neither the store's calls nor the
/// hosts that ask one reader grow as fast as the fleet.
#[must_use]
pub fn store_reader_count(hosts: usize) -> usize {
    let third_of_root = (hosts as f64).sqrt() / 3.0;
    (third_of_root.ceil() as usize).max(READERS_MIN)
}

/// Returns the readers among hosts that nobody doubts, by rendezvous hashing; each comes with
/// whether the store answers it.
///
/// One that the store turns away is replaced, however many were: the one host that the store
/// answers must read for all. Where it answers nobody, the first ones go on trying. Hosts that disagree about who lives only cause
/// more reads, or fewer until the age of the news makes every host read for itself.
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

/// Returns how long a host pauses after its call to the store failed, on average.
///
/// Answers the load of a store that is down: hosts whose news grow old all try it, and must
/// not keep it down.
#[must_use]
pub fn store_retry_backoff(failures: u32, hosts: usize, is_reader: bool) -> Duration {
    let pause = RETRY_FIRST * 2_u32.pow(failures.min(RETRY_DOUBLINGS_MAX));
    let factor = if is_reader { 1.0 } else { (hosts as f64 / RETRYING_HOSTS).max(1.0) };
    pause.mul_f64(factor).min(RETRY_MAX)
}
