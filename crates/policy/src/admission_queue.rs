//! The queue of queries that wait until the concurrency limit lets them start.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use crate::{QueryRank, SenderTurns};

/// A query that waits for its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedQuery {
    /// Identifies the query at its host.
    pub id: u64,
    /// Its place among queries that compete for a start.
    pub rank: QueryRank,
    /// The host at which its caller is connected.
    pub sender: IpAddr,
    /// When it was queued.
    pub queued_at: Instant,
    /// When it can no longer be answered in time, or promptly refused.
    pub wait_until: Instant,
    /// When its caller first asked.
    pub asked_at: Instant,
    /// How long its caller can wait before it returns, if it is refused.
    pub return_within: Duration,
}

impl QueuedQuery {
    fn order(&self) -> (QueryRank, Instant, u64) {
        (self.rank, self.queued_at, self.id)
    }
}

/// The queue: higher ranks first; within a rank, senders take turns, so that one that sends more does not take the starts
/// of the others; then the longest wait.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by [`QueuedQuery::order`].
    queries: Vec<QueuedQuery>,
    turns: SenderTurns,
}

impl AdmissionQueue {
    /// Returns the number of queries in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queries.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Adds a query.
    pub fn push(&mut self, query: QueuedQuery) {
        let at = self.queries.partition_point(|other| other.order() < query.order());
        self.queries.insert(at, query);
    }

    /// Removes a query, if it is in the queue.
    pub fn remove(&mut self, id: u64) -> Option<QueuedQuery> {
        let at = self.queries.iter().position(|query| query.id == id)?;
        Some(self.queries.remove(at))
    }

    /// Returns whether no query in the queue is of the same or a higher rank.
    #[must_use]
    pub fn is_first(&self, now: Instant, rank: QueryRank) -> bool {
        !self.queries.iter().any(|query| query.rank <= rank && now <= query.wait_until)
    }

    /// Returns how many queries in the queue would start before one that is added.
    #[must_use]
    pub fn ahead_of(&self, query: &QueuedQuery) -> usize {
        let higher = self.queries.partition_point(|other| other.rank < query.rank);
        let same_rank = self.queries[higher..].iter().take_while(|other| other.rank == query.rank);
        // The queries of each sender, and where its first one is.
        let mut senders: Vec<(IpAddr, usize, usize)> = Vec::new();
        for (at, other) in same_rank.enumerate() {
            match senders.binary_search_by_key(&other.sender, |(sender, ..)| *sender) {
                Ok(found) => senders[found].1 += 1,
                Err(found) => senders.insert(found, (other.sender, 1, at)),
            }
        }
        let found = senders.binary_search_by_key(&query.sender, |(sender, ..)| *sender);
        let (_, own, own_first) = found.map_or((query.sender, 0, usize::MAX), |found| senders.remove(found));
        let own_turn = (self.turns.turn(query.sender), own_first);
        // Each other sender starts one query before each of this one, and one more if its turn is earlier.
        let of_others = senders.iter().map(|(sender, queued, first)| {
            let is_earlier = (self.turns.turn(*sender), *first) < own_turn;
            (own + usize::from(is_earlier)).min(*queued)
        });
        higher + own + of_others.sum::<usize>()
    }

    /// Records the start of a sender's query, in the queue or not.
    pub fn record_start(&mut self, now: Instant, sender: IpAddr) {
        self.turns.record_start(now, sender);
    }

    /// Records that a sender's query waits or is refused.
    pub fn record_contention(&mut self, now: Instant, sender: IpAddr, rank: QueryRank) {
        self.turns.record_contention(now, sender, rank);
    }

    /// Returns whether a sender has not had more starts than others that wait for theirs.
    #[must_use]
    pub fn is_within_share(&self, now: Instant, sender: IpAddr, rank: QueryRank) -> bool {
        self.turns.recent_starts(now, sender) <= self.turns.starts_max(now, rank)
    }

    /// Takes the query that starts next: the highest rank that `may_start`, then the sender that was started least
    /// recently, then the longest wait. Queries that have waited too long are passed over, and, unless the host is idle,
    /// those of senders that have had more than their share.
    pub fn pop(
        &mut self,
        now: Instant,
        is_idle: bool,
        may_start: impl Fn(QueryRank) -> bool,
    ) -> Option<QueuedQuery> {
        let is_waiting = |query: &QueuedQuery| now <= query.wait_until;
        let first = self.queries.iter().position(|query| is_waiting(query) && may_start(query.rank))?;
        let rank = self.queries[first].rank;
        let same_rank = self.queries[first..].iter().take_while(|query| query.rank == rank).enumerate();
        let starts_max = if is_idle { f64::INFINITY } else { self.turns.starts_max(now, rank) };
        let is_within_share = |sender| self.turns.recent_starts(now, sender) <= starts_max;
        let next = same_rank
            .filter(|(_, query)| is_waiting(query) && is_within_share(query.sender))
            .min_by_key(|(at, query)| (self.turns.turn(query.sender), *at));
        next.map(|(at, _)| first + at).map(|at| self.queries.remove(at))
    }
}
