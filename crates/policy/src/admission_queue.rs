//! The queue of queries that wait until the concurrency limit lets them start.

use std::time::{Duration, Instant};

use crate::QueryRank;

/// A query that waits for its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedQuery {
    /// Identifies the query at its host.
    pub id: u64,
    /// Its place among queries that compete for a start.
    pub rank: QueryRank,
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

/// The queue, in the order in which its queries start.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by [`QueuedQuery::order`].
    queries: Vec<QueuedQuery>,
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

    /// Returns how many queries in the queue would start before this one.
    #[must_use]
    pub fn ahead_of(&self, query: &QueuedQuery) -> usize {
        self.queries.partition_point(|other| other.order() < query.order())
    }

    /// Takes the query that starts next: the highest rank that `may_start`, then the longest wait. Queries that have
    /// waited too long are passed over.
    pub fn pop(&mut self, now: Instant, may_start: impl Fn(QueryRank) -> bool) -> Option<QueuedQuery> {
        let at = self.queries.iter().position(|query| now <= query.wait_until && may_start(query.rank))?;
        Some(self.queries.remove(at))
    }
}
