//! What callers' time budgets tell of the time that they spent before their request came.

use std::time::Duration;

/// Budgets that are remembered; callers of one route state few different ones.
const BUDGETS_MAX: usize = 6;
/// Requests on open connections that state a budget before it counts as a whole one: a caller
/// that sends again may state what is left of its own.
const SEEN_MIN: u32 = 3;
/// Budgets are forgotten by halves after so many requests.
const HALVE_AFTER: u32 = 1024;

#[derive(Clone, Copy, Debug)]
struct Seen {
    budget: Duration,
    requests: u32,
}

/// The time budgets that callers of one route state.
///
/// A caller on a connection that was open states its whole budget; one that opened a connection
/// first has spent a part of it by then. The difference is the way there and back, which nothing
/// else shows to a host. See docs/PLATFORM.md.
#[derive(Clone, Debug, Default)]
pub struct CallerBudgets {
    /// Sorted by budget.
    seen: Vec<Seen>,
    requests: u32,
}

impl CallerBudgets {
    /// Takes the budget of a request on a connection that was open.
    pub fn record(&mut self, budget: Duration) {
        self.requests += 1;
        if self.requests > HALVE_AFTER {
            self.requests = 0;
            self.seen.iter_mut().for_each(|seen| seen.requests /= 2);
            self.seen.retain(|seen| seen.requests > 0);
        }
        match self.seen.binary_search_by_key(&budget, |seen| seen.budget) {
            Ok(at) => self.seen[at].requests += 1,
            Err(at) => {
                self.seen.insert(at, Seen { budget, requests: 1 });
                self.drop_rarest(budget);
            }
        }
    }

    /// Returns how much of its budget a caller had spent that states so much, where that shows.
    #[must_use]
    pub fn elapsed(&self, stated: Duration) -> Option<Duration> {
        let first = self.seen.partition_point(|seen| seen.budget < stated);
        let whole = self.seen[first..].iter().find(|seen| seen.requests >= SEEN_MIN)?;
        Some(whole.budget - stated)
    }

    fn drop_rarest(&mut self, latest: Duration) {
        if self.seen.len() > BUDGETS_MAX {
            let others = self.seen.iter().enumerate().filter(|(_, seen)| seen.budget != latest);
            if let Some((rarest, _)) = others.min_by_key(|(_, seen)| seen.requests) {
                self.seen.remove(rarest);
            }
        }
    }
}
