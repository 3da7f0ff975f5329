//! The order among senders of queries that compete for starts.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use crate::QueryRank;

/// The most senders that are remembered. A sender that is forgotten counts as one that has not been started, so the one
/// that was started the longest ago is forgotten first.
const SENDERS_MAX: usize = 512;
/// How long a sender counts as contended after one of its queries waited or was refused, as for ranks.
const CONTENTION_TTL: Duration = Duration::from_millis(150);
/// The time within which starts count, an exponential decay.
const STARTS_MEMORY: Duration = Duration::from_secs(1);
/// How many more recent starts than a contended sender another one may have, and as a multiple of its starts: chance alone
/// makes equal senders differ by that much.
const STARTS_AHEAD_MAX: f64 = 2.0;
const STARTS_RATIO_MAX: f64 = 1.25;

/// The starts of one sender.
#[derive(Clone, Copy, Debug)]
struct Sender {
    address: IpAddr,
    /// The number of starts of all senders until its last one; zero before the first.
    turn: u64,
    /// Its recent starts, as of `counted_at`.
    starts: f64,
    counted_at: Instant,
    /// The rank of its last query that waited or was refused, and until when that counts.
    contended: Option<(QueryRank, Instant)>,
}

impl Sender {
    fn recent_starts(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        self.starts * (-age.div_duration_f64(STARTS_MEMORY)).exp()
    }
}

/// Which sender was started when and how often.
///
/// Queued queries start in turns. A sender whose queries are rarely queued, as those of others fill the queue or arrive
/// first when there is room, would still get less than its share: one that has had more starts leaves it the room.
#[derive(Clone, Debug, Default)]
pub struct SenderTurns {
    /// Sorted by address.
    senders: Vec<Sender>,
    starts: u64,
}

impl SenderTurns {
    /// Records the start of a query of a sender.
    pub fn record_start(&mut self, now: Instant, address: IpAddr) {
        self.starts += 1;
        let turn = self.starts;
        let sender = self.sender(now, address);
        sender.turn = turn;
        sender.starts = sender.recent_starts(now) + 1.0;
        sender.counted_at = now;
    }

    /// Records that a query of a sender waits or is refused.
    pub fn record_contention(&mut self, now: Instant, address: IpAddr, rank: QueryRank) {
        self.sender(now, address).contended = Some((rank, now + CONTENTION_TTL));
    }

    /// Returns the turn of a sender; the least is next.
    #[must_use]
    pub fn turn(&self, address: IpAddr) -> u64 {
        self.find(address).map_or(0, |at| self.senders[at].turn)
    }

    /// Returns how many recent starts a sender may have to start a query of this rank.
    #[must_use]
    pub fn starts_max(&self, now: Instant, rank: QueryRank) -> f64 {
        let is_contended =
            |sender: &&Sender| sender.contended.is_some_and(|(at, until)| at == rank && now < until);
        let contended = self.senders.iter().filter(is_contended);
        let least = contended.map(|sender| sender.recent_starts(now)).fold(f64::INFINITY, f64::min);
        least * STARTS_RATIO_MAX + STARTS_AHEAD_MAX
    }

    /// Returns the recent starts of a sender.
    #[must_use]
    pub fn recent_starts(&self, now: Instant, address: IpAddr) -> f64 {
        self.find(address).map_or(0.0, |at| self.senders[at].recent_starts(now))
    }

    fn sender(&mut self, now: Instant, address: IpAddr) -> &mut Sender {
        let at = self.find(address).unwrap_or_else(|_| {
            let oldest = (0..self.senders.len()).min_by_key(|&at| self.senders[at].turn);
            if let Some(at) = oldest.filter(|_| self.senders.len() == SENDERS_MAX) {
                self.senders.remove(at);
            }
            let at = self.senders.partition_point(|sender| sender.address < address);
            self.senders
                .insert(at, Sender { address, turn: 0, starts: 0.0, counted_at: now, contended: None });
            at
        });
        &mut self.senders[at]
    }

    fn find(&self, address: IpAddr) -> Result<usize, usize> {
        self.senders.binary_search_by_key(&address, |sender| sender.address)
    }
}
