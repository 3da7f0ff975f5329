//! Which hosts live.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{Member, MemberState};

/// How long a suspect has to show that it lives: a few gossip rounds.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2500);
/// A member that is gone for this long is forgotten; longer than any bound that counts hosts.
pub const GONE_RETENTION: Duration = Duration::from_secs(60);
/// How long the hosts of a fleet that starts are introduced to each other.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Members that a message carries because they are news.
const UPDATES_PER_MESSAGE_MAX: usize = 8;
/// Members that an answer carries for a host that knows fewer.
const BOOTSTRAP_SAMPLE_MAX: usize = 24;
/// How often a piece of news is told, as a multiple of the logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 3;
/// A host tells its load again when it changed by this factor.
const LOAD_CHANGE_FACTOR: f64 = 1.5;

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When its state changed.
    since: Instant,
    /// How often this host may still tell it as news.
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

/// The hosts that this host has heard of.
///
/// A member counts as live until somebody who asked it got no answer. The suspicion is
/// told on; the suspect hears of it and raises its incarnation, or counts as gone.
/// Messages carry news only, so their size does not grow with the fleet.
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

    /// Takes this host's load, and forgets hosts that are gone for long.
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

    /// Tells the others whether the platform's store answers this host; returns whether it is news.
    pub fn set_store_reachable(&mut self, store_reachable: bool) -> bool {
        let is_news = self.own.store_reachable != store_reachable;
        if is_news {
            self.own.store_reachable = store_reachable;
            self.own.incarnation += 1;
        }
        is_news
    }

    /// Tells the others that this host shuts down.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Gone;
    }

    /// Notes that a host did not answer; returns whether it was not doubted before.
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

    /// Takes what another host says of a member; returns whether it is a new one.
    ///
    /// Where this host itself is doubted, or an earlier run had a greater incarnation, it
    /// raises its own: a clock that was set back must not silence it.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        if member.address == self.own.address {
            if member.overrides(&self.own) {
                self.own.incarnation = member.incarnation + 1;
            }
            return false;
        }
        // A fleet that starts is introduced anyhow.
        let is_starting = self.uptime(now) < STARTUP_PERIOD;
        let transmits_left = if is_starting { 0 } else { self.transmit_limit() };
        let heard = Peer { member: member.clone(), since: now, transmits_left };
        match self.find(member.address) {
            Ok(at) => {
                if member.overrides(&self.peers[at].member) {
                    self.peers[at] = heard;
                }
                false
            }
            Err(at) => {
                self.peers.insert(at, heard);
                true
            }
        }
    }

    /// Returns this host and the members that seem to live.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.live_peers(now))
    }

    /// Returns this host and the members that nobody doubts.
    pub fn unsuspected(&self) -> impl Iterator<Item = &Member> {
        let peers = self.peers.iter().map(|peer| &peer.member);
        std::iter::once(&self.own).chain(peers.filter(|member| member.state == MemberState::Live))
    }

    /// Returns how many hosts there may be; hosts that were lost lately count.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Draws peers that seem to live, at most `max`.
    #[must_use]
    pub fn sample_live(&self, now: Instant, max: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live_peers(now).map(|member| member.address).collect();
        fastrand::choose_multiple(live, max)
    }

    /// Draws peers that seem to live whom to tell of a change at once.
    ///
    /// At most `near` are of this host's data centre, where bytes cost least. A host that
    /// learnt the change from the store itself tells one host of each other data centre as well;
    /// those tell their neighbours.
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

    /// Draws a peer that seems lost; it may be back, or behind a partition that is healed.
    #[must_use]
    pub fn sample_unreachable(&self, now: Instant) -> Option<SocketAddr> {
        let lost = self.peers.iter().filter(|peer| !peer.is_live(now));
        fastrand::choice(lost.map(|peer| peer.member.address).collect::<Vec<_>>())
    }

    /// Returns the members for a message: this host, and what is news.
    #[must_use]
    pub fn next_updates(&mut self) -> Vec<Member> {
        let mut news: Vec<&mut Peer> = self.peers.iter_mut().filter(|peer| peer.transmits_left > 0).collect();
        news.sort_by_key(|peer| std::cmp::Reverse(peer.transmits_left));
        let mut told = vec![self.own.clone()];
        for peer in news.into_iter().take(UPDATES_PER_MESSAGE_MAX) {
            peer.transmits_left -= 1;
            told.push(peer.member.clone());
        }
        told
    }

    /// Returns some members for a host that knows fewer than this one.
    #[must_use]
    pub fn bootstrap_sample(&self, known: usize) -> Vec<Member> {
        if known >= self.size() {
            return Vec::new();
        }
        fastrand::choose_multiple(self.peers.iter().map(|peer| peer.member.clone()), BOOTSTRAP_SAMPLE_MAX)
    }

    /// Returns how long this host runs.
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
