//! The queue of queries that wait until the concurrency limit lets them start.

use std::time::Instant;

/// Under contention, one start in this many goes to the lowest priority in the queue, so that it does not starve.
const STARTS_PER_LOWEST_PRIORITY: u32 = 8;

/// A query that waits for its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedQuery {
    /// Identifies the query at its host.
    pub id: u64,
    /// The priority of its route; 0 is the highest.
    pub priority: u32,
    /// Whether its caller was refused before and returns when it was told to.
    pub has_returned: bool,
    /// When it was queued.
    pub queued_at: Instant,
    /// When it can no longer be answered in time, or promptly refused.
    pub wait_until: Instant,
}

impl QueuedQuery {
    fn order(&self) -> (u32, bool, Instant, u64) {
        (self.priority, !self.has_returned, self.queued_at, self.id)
    }
}

/// The queue, in the order in which its queries start.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by [`QueuedQuery::order`].
    queries: Vec<QueuedQuery>,
    contended_starts: u32,
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

    /// Removes a query; returns whether it was in the queue.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.queries.len();
        self.queries.retain(|query| query.id != id);
        self.queries.len() < before
    }

    /// Returns how many queries in the queue would start before this one.
    #[must_use]
    pub fn ahead_of(&self, query: &QueuedQuery) -> usize {
        self.queries.partition_point(|other| other.order() < query.order())
    }

    /// Takes the query that starts next, the highest priority first; those that have waited too long are passed over.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedQuery> {
        let mut waiting = self.queries.iter().enumerate().filter(|(_, query)| now <= query.wait_until);
        let (first, highest) = waiting.next()?;
        let lowest = waiting.next_back().filter(|(_, last)| last.priority > highest.priority);
        let Some((_, last)) = lowest else { return Some(self.queries.remove(first)) };
        self.contended_starts += 1;
        if self.contended_starts < STARTS_PER_LOWEST_PRIORITY {
            return Some(self.queries.remove(first));
        }
        self.contended_starts = 0;
        let priority = last.priority;
        let at =
            self.queries.iter().position(|query| query.priority == priority && now <= query.wait_until)?;
        Some(self.queries.remove(at))
    }
}
