//! Which hosts live.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::Member;

/// A member without news for this long counts as lost: a few gossip rounds.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(5);
/// A member without news for this long is forgotten; longer than any bound that counts hosts.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Members that one message carries, so that its size does not grow with the fleet.
const TOLD_MAX: usize = 24;

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    heard_at: Instant,
}

/// The hosts that this host has heard of.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    /// Sorted by address.
    peers: Vec<Peer>,
    started_at: Instant,
}

impl Membership {
    /// Starts with nobody but this host.
    #[must_use]
    pub fn new(now: Instant, own: Member) -> Self {
        Self { own, peers: Vec::new(), started_at: now }
    }

    /// Returns this host.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Advances this host's counter and forgets hosts that were lost long ago.
    pub fn beat(&mut self, now: Instant) {
        self.own.beat += 1;
        self.peers.retain(|peer| now.saturating_duration_since(peer.heard_at) < FORGET_AFTER);
    }

    /// Tells the others that this host shuts down.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.beat += 1;
    }

    /// Takes what another host says of a member; returns whether it is a new one.
    ///
    /// Where others know a later run under this host's address, this run takes a greater
    /// incarnation: a clock that was set back must not silence it.
    pub fn learn(&mut self, now: Instant, member: &Member) -> bool {
        if member.address == self.own.address {
            if member.incarnation > self.own.incarnation {
                self.own.incarnation = member.incarnation + 1;
            }
            return false;
        }
        match self.peers.binary_search_by_key(&member.address, |peer| peer.member.address) {
            Ok(at) => {
                let peer = &mut self.peers[at];
                if member.is_newer_than(&peer.member) {
                    *peer = Peer { member: member.clone(), heard_at: now };
                }
                false
            }
            Err(at) => {
                self.peers.insert(at, Peer { member: member.clone(), heard_at: now });
                true
            }
        }
    }

    /// Returns this host and the members that seem to live.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.live_peers(now))
    }

    /// Returns how many hosts there may be; hosts that were lost lately count.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Draws peers that seem to live, at most `max`.
    #[must_use]
    pub fn draw(&self, now: Instant, max: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live_peers(now).map(|member| member.address).collect();
        fastrand::choose_multiple(live, max)
    }

    /// Returns the members for a message: this host, and some others with recent news.
    #[must_use]
    pub fn told(&self, now: Instant) -> Vec<Member> {
        let others: Vec<Member> = self.live_peers(now).cloned().collect();
        let mut told = vec![self.own.clone()];
        told.extend(fastrand::choose_multiple(others, TOLD_MAX));
        told
    }

    /// Returns how long this host runs.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.peers
            .iter()
            .filter(move |peer| {
                !peer.member.leaving && now.saturating_duration_since(peer.heard_at) < SUSPECT_AFTER
            })
            .map(|peer| &peer.member)
    }
}
