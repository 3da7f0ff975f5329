//! The limit on requests to a replica that warms up, kept by all hosts together.
//!
//! A replica that warms up tolerates few requests per second from the whole fleet and crashes above
//! that. Hosts cannot count each other's requests, so one host of its data centre owns each such
//! replica, and only the owner sends to it. See docs/DESIGN.md, "Replicas that warm up".

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time in which the requests are counted.
const WINDOW: Duration = Duration::from_millis(1000);
/// Requests that were sent further apart than [`WINDOW`] may arrive closer together by this, as the
/// earlier ones waited in a network queue.
const ARRIVAL_JITTER: Duration = Duration::from_millis(250);
/// Hosts that may take themselves for the owner at the same time, because their views of the fleet
/// differ: the old owner, the new one, and one that was cut off and is back.
const OWNERS_AT_ONCE_MAX: f64 = 3.0;

/// How far the requests to a replica that warms up may exceed what it tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimits {
    /// The factor by which they may exceed it.
    pub overage: f64,
    /// Requests per second that are allowed beyond that.
    pub slack: f64,
}

impl WarmUpLimits {
    /// Returns how many requests the owner of a replica may send to it within a second.
    #[must_use]
    pub fn owner_quota(&self, requests_per_s: f64) -> usize {
        let allowed = requests_per_s * self.overage + self.slack;
        (allowed / OWNERS_AT_ONCE_MAX).max(0.0) as usize
    }
}

/// Returns the host that owns a replica while it warms up, by rendezvous hashing.
///
/// `hosts` are those that may own replicas of its data centre.
#[must_use]
pub fn warm_up_owner(replica: &str, hosts: &[SocketAddr]) -> Option<SocketAddr> {
    let seed = xxh3_64_with_seed(replica.as_bytes(), 0);
    hosts.iter().copied().max_by_key(|host| (xxh3_64_with_seed(host.to_string().as_bytes(), seed), *host))
}

/// The requests that this host sent to one replica within the last second.
#[derive(Clone, Debug, Default)]
pub struct WarmUpWindow {
    sent: VecDeque<Instant>,
}

impl WarmUpWindow {
    /// Returns whether one more request is within the quota.
    #[must_use]
    pub fn has_room(&self, now: Instant, quota: usize) -> bool {
        let recent = |sent: &&Instant| now.saturating_duration_since(**sent) < WINDOW + ARRIVAL_JITTER;
        self.sent.iter().rev().take_while(recent).count() < quota
    }

    /// Records a request if it is within the quota; returns whether it is.
    pub fn try_send(&mut self, now: Instant, quota: usize) -> bool {
        let has_room = self.has_room(now, quota);
        if has_room {
            self.sent.push_back(now);
            let excess = self.sent.len().saturating_sub(quota);
            self.sent.drain(..excess);
        }
        has_room
    }
}
