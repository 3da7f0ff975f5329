//! The membership view of one host.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{Member, MemberState};

/// How long a suspect has to refute the suspicion before it counts as lost: a few gossip rounds.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a suspect or gone member is remembered. It still counts in the size of the fleet, by
/// which hosts share limits; this is longer than the window of any such limit.
pub const GONE_RETENTION: Duration = Duration::from_secs(60);
/// Members learnt this soon after the start are not gossiped on: while a whole fleet starts, its
/// hosts learn of each other from samples in replies.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Limits the changed members in one message.
const UPDATES_PER_MESSAGE_MAX: usize = 8;
/// Limits the random members in a reply to a host that knows almost as many members; one that lacks
/// more than [`MISSING_MEMBERS_FEW`] gets all of them. While a whole fleet starts, each host would
/// otherwise take itself for one of few, and ask all targets itself.
const BOOTSTRAP_SAMPLE_MAX: usize = 24;
/// Views differ by a few members whenever hosts come or go, which is not worth a message with all.
const MISSING_MEMBERS_FEW: usize = 8;
/// How many messages of a host carry a change, as a multiple of the binary logarithm of the fleet's
/// size.
const RETRANSMIT_FACTOR: u32 = 3;
/// A host gossips its load again once it has changed by this factor.
const LOAD_CHANGE_FACTOR: f64 = 1.5;

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When its state changed.
    since: Instant,
    /// How many more messages of this host may carry it as a change.
    transmits_left: u32,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        match self.member.state {
            MemberState::Live => true,
            MemberState::Suspect => now.saturating_duration_since(self.since) < SUSPICION_TIMEOUT,
            MemberState::Gone => false,
        }
    }
}

/// The members that this host knows.
///
/// A member counts as live until a host gets no reply from it. The suspicion spreads by gossip;
/// the suspect refutes it by raising its incarnation when it learns of it, or counts as lost after
/// [`SUSPICION_TIMEOUT`]. Messages carry changes only, so their size does not grow with the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    /// Sorted by address.
    peers: Vec<Peer>,
    started_at: Instant,
}

impl Membership {
    /// Creates a view that holds only this host.
    #[must_use]
    pub fn new(now: Instant, own: Member) -> Self {
        Self { own, peers: Vec::new(), started_at: now }
    }

    /// Returns the description of this host.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Updates this host's load and removes members whose [`GONE_RETENTION`] has passed.
    pub fn refresh(&mut self, now: Instant, parts_per_s: u32) {
        let (old, new) = (f64::from(self.own.parts_per_s.max(1)), f64::from(parts_per_s.max(1)));
        if new > old * LOAD_CHANGE_FACTOR || old > new * LOAD_CHANGE_FACTOR {
            self.own.parts_per_s = parts_per_s;
            self.own.incarnation += 1;
        }
        let is_kept = |peer: &Peer| {
            peer.member.state == MemberState::Live
                || now.saturating_duration_since(peer.since) < GONE_RETENTION
        };
        self.peers.retain(is_kept);
    }

    /// Sets whether the platform's store answers this host; returns whether that changed.
    pub fn set_store_reachable(&mut self, store_reachable: bool) -> bool {
        let has_changed = self.own.store_reachable != store_reachable;
        if has_changed {
            self.own.store_reachable = store_reachable;
            self.own.incarnation += 1;
        }
        has_changed
    }

    /// Sets whether this host reaches any target; returns whether that changed.
    pub fn set_reaches_targets(&mut self, reaches_targets: bool) -> bool {
        let has_changed = self.own.reaches_targets != reaches_targets;
        if has_changed {
            self.own.reaches_targets = reaches_targets;
            self.own.incarnation += 1;
        }
        has_changed
    }

    /// Returns whether a peer reaches any target, as far as it is known.
    #[must_use]
    pub fn reaches_targets(&self, address: SocketAddr) -> Option<bool> {
        self.find(address).ok().map(|at| self.peers[at].member.reaches_targets)
    }

    /// Marks this host as shutting down; the next messages carry that to the others.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Gone;
    }

    /// Marks a host that did not reply as suspect; returns whether it was live before.
    pub fn suspect(&mut self, now: Instant, address: SocketAddr) -> bool {
        let transmits_left = self.transmit_limit();
        let Ok(at) = self.find(address) else { return false };
        let peer = &mut self.peers[at];
        if peer.member.state != MemberState::Live {
            return false;
        }
        peer.member.state = MemberState::Suspect;
        peer.since = now;
        peer.transmits_left = transmits_left;
        true
    }

    /// Merges a member of another host's message; returns whether it was unknown.
    ///
    /// If others suspect this host, or saw a greater incarnation of an earlier run, it
    /// raises its own incarnation. Without that, others would ignore a host whose clock was set
    /// back, because its first incarnation is the time of its start.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        if member.address == self.own.address {
            if member.overrides(&self.own) {
                self.own.incarnation = member.incarnation + 1;
            }
            return false;
        }
        // While the fleet starts, samples in replies spread members anyway.
        let is_starting = self.uptime(now) < STARTUP_PERIOD;
        let transmits_left = if is_starting { 0 } else { self.transmit_limit() };
        let received = Peer { member: member.clone(), since: now, transmits_left };
        match self.find(member.address) {
            Ok(at) => {
                if member.overrides(&self.peers[at].member) {
                    self.peers[at] = received;
                }
                false
            }
            Err(at) => {
                self.peers.insert(at, received);
                true
            }
        }
    }

    /// Returns this host and the members that count as live, suspects within their timeout included.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.live_peers(now))
    }

    /// Returns this host and the live members that no host suspects.
    pub fn unsuspected(&self) -> impl Iterator<Item = &Member> {
        let peers = self.peers.iter().map(|peer| &peer.member);
        std::iter::once(&self.own).chain(peers.filter(|member| member.state == MemberState::Live))
    }

    /// Returns whether this host and those that nobody suspects are more than half of the known hosts of
    /// a data centre, including those that were lost within [`GONE_RETENTION`].
    #[must_use]
    pub fn sees_majority(&self, data_centre: &str) -> bool {
        let known = self.peers.iter().filter(|peer| *peer.member.data_centre == *data_centre).count();
        let unsuspected = self.unsuspected().filter(|member| *member.data_centre == *data_centre).count();
        // The known peers and this host.
        2 * unsuspected > known + 1
    }

    /// Returns the number of known hosts, including those that were lost within [`GONE_RETENTION`].
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of members that count as live, this host included.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.live(now).count()
    }

    /// Draws at most `max` random live peers.
    #[must_use]
    pub fn sample_live(&self, now: Instant, max: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live_peers(now).map(|member| member.address).collect();
        fastrand::choose_multiple(live, max)
    }

    /// Draws the live peers to which to push a change at once.
    ///
    /// At most `near` are in this host's data centre, where bytes cost least. A host that learnt
    /// the change from the store itself (`is_source`) also pushes to one host of each other data
    /// centre, which spreads it there; so does a host without live peers in its own data centre.
    #[must_use]
    pub fn sample_push_peers(&self, now: Instant, near: usize, is_source: bool) -> Vec<SocketAddr> {
        let is_near = |member: &&Member| member.data_centre == self.own.data_centre;
        let neighbours = self.live_peers(now).filter(is_near).map(|member| member.address);
        let mut drawn = fastrand::choose_multiple(neighbours, near);
        if is_source || drawn.is_empty() {
            let mut others: Vec<&Member> = self.live_peers(now).filter(|member| !is_near(member)).collect();
            fastrand::shuffle(&mut others);
            others.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
            others.dedup_by(|a, b| a.data_centre == b.data_centre);
            drawn.extend(others.iter().map(|member| member.address));
        }
        drawn
    }

    /// Draws a random peer that is lost or gone: it may be back, or a network partition may have
    /// healed.
    #[must_use]
    pub fn sample_unreachable(&self, now: Instant) -> Option<SocketAddr> {
        let unreachable = self.peers.iter().filter(|peer| !peer.is_live(now));
        fastrand::choice(unreachable.map(|peer| peer.member.address).collect::<Vec<_>>())
    }

    /// Returns the members that the next message carries: this host first, then the changes that
    /// were sent least often. Counts these as sent once more.
    #[must_use]
    pub fn next_updates(&mut self) -> Vec<Member> {
        let mut changed: Vec<&mut Peer> =
            self.peers.iter_mut().filter(|peer| peer.transmits_left > 0).collect();
        changed.sort_by_key(|peer| std::cmp::Reverse(peer.transmits_left));
        let mut updates = vec![self.own.clone()];
        for peer in changed.into_iter().take(UPDATES_PER_MESSAGE_MAX) {
            peer.transmits_left -= 1;
            updates.push(peer.member.clone());
        }
        updates
    }

    /// Returns the live members for a host that knows fewer than this one: all of them, or a random
    /// sample if it lacks only few; nothing for others.
    ///
    /// `known` is the other host's [`Self::live_count`].
    #[must_use]
    pub fn bootstrap_sample(&self, now: Instant, known: usize) -> Vec<Member> {
        let missing = self.live_count(now).saturating_sub(known);
        let max = match missing {
            0 => 0,
            1..=MISSING_MEMBERS_FEW => BOOTSTRAP_SAMPLE_MAX,
            _ => self.peers.len(),
        };
        fastrand::choose_multiple(self.live_peers(now).cloned(), max)
    }

    /// Returns whether a peer is known to read messages of this build that have no field names.
    #[must_use]
    pub fn reads_compact(&self, address: SocketAddr) -> bool {
        self.find(address).is_ok_and(|at| self.peers[at].member.reads_compact())
    }

    /// Returns how long this host has been running.
    #[must_use]
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&address, |peer| peer.member.address)
    }

    fn transmit_limit(&self) -> u32 {
        RETRANSMIT_FACTOR * (self.size() as u32 + 1).ilog2().max(1)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.peers.iter().filter(move |peer| peer.is_live(now)).map(|peer| &peer.member)
    }
}
