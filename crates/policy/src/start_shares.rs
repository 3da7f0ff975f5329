//! The shares of the starts that ranks of queries get while a higher one waits or is refused.

use std::time::{Duration, Instant};

use crate::{QueryRank, ReturnState};

/// How long a rank counts as contended after one of its queries waited or was refused: queries of a contended rank
/// arrive faster than this.
const CONTENTION_TTL: Duration = Duration::from_millis(100);
/// Each start of a higher priority earns a lower one this many starts, so that it keeps a share of them.
const STARTS_EARNED: f64 = 0.2;
/// The most starts that a priority saves up.
const SAVED_STARTS_MAX: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct RankState {
    rank: QueryRank,
    contended_until: Instant,
    /// Starts that the rank may still make while a higher one is contended.
    saved_starts: f64,
}

/// Which ranks may start a query now.
///
/// While a rank is contended, lower ones leave the capacity to it, except for a share that keeps lower priorities from
/// starving. Callers that return unpromised have no share of their own: they would take the starts of new ones, whose
/// answers can still be in time.
#[derive(Clone, Debug, Default)]
pub struct StartShares {
    /// Sorted by rank.
    ranks: Vec<RankState>,
}

impl StartShares {
    /// Returns whether a query of this rank may start.
    #[must_use]
    pub fn may_start(&self, now: Instant, rank: QueryRank) -> bool {
        let mut higher = self.ranks.iter().filter(|state| state.rank < rank && now < state.contended_until);
        let Some(first) = higher.next() else { return true };
        let is_held_by_own_priority =
            first.rank.priority == rank.priority || higher.any(|state| state.rank.priority == rank.priority);
        if is_held_by_own_priority {
            return false;
        }
        self.find(rank).is_ok_and(|at| self.ranks[at].saved_starts >= 1.0)
    }

    /// Returns whether a rank may start a query out of its share, ahead of higher ones.
    #[must_use]
    pub fn is_owed(&self, now: Instant, rank: QueryRank) -> bool {
        self.find(rank).is_ok_and(|at| self.ranks[at].saved_starts >= 1.0) && self.may_start(now, rank)
    }

    /// Records that a query of this rank waits or is refused.
    pub fn record_contention(&mut self, now: Instant, rank: QueryRank) {
        let at = self.insert(now, rank);
        self.ranks[at].contended_until = now + CONTENTION_TTL;
    }

    /// Records the start of a query of this rank.
    pub fn record_start(&mut self, now: Instant, rank: QueryRank) {
        let at = self.insert(now, rank);
        self.ranks[at].saved_starts = (self.ranks[at].saved_starts - 1.0).max(0.0);
        for state in &mut self.ranks {
            if state.rank.priority > rank.priority && state.rank.returning != ReturnState::Unpromised {
                state.saved_starts = (state.saved_starts + STARTS_EARNED).min(SAVED_STARTS_MAX);
            }
        }
    }

    fn insert(&mut self, now: Instant, rank: QueryRank) -> usize {
        self.find(rank).unwrap_or_else(|at| {
            self.ranks.insert(at, RankState { rank, contended_until: now, saved_starts: 0.0 });
            at
        })
    }

    fn find(&self, rank: QueryRank) -> Result<usize, usize> {
        self.ranks.binary_search_by_key(&rank, |state| state.rank)
    }
}
