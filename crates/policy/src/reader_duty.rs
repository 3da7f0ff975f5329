//! Which hosts read the platform's store for all.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Hosts that read the store for all others, so that one may be lost or cut off.
pub const READERS: usize = 2;

/// Tells whether a host is among the readers, by rendezvous hashing over the live hosts.
///
/// Hosts that disagree about who lives only cause more reads, or fewer until the age of
/// the news makes every host read for itself.
#[must_use]
pub fn is_reader(own: SocketAddr, live: impl IntoIterator<Item = SocketAddr>) -> bool {
    let score = |address: SocketAddr| xxh3_64(address.to_string().as_bytes());
    let own_score = score(own);
    live.into_iter().filter(|&other| other != own && score(other) > own_score).count() < READERS
}
