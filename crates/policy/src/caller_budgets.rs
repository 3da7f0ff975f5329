//! The time that callers spent before they sent a request, inferred from their time budgets.

use std::time::Duration;

/// The most budgets that are kept; callers of one route send few different ones.
const BUDGETS_MAX: usize = 6;
/// The number of requests on open connections after which a budget counts as a full one: a caller that
/// retries may send what is left of its budget.
const FULL_BUDGET_REQUESTS_MIN: u32 = 3;
/// The number of requests after which all counts are halved, so that budgets out of use are dropped.
const HALVE_AFTER_REQUESTS: u32 = 1024;

#[derive(Clone, Copy, Debug)]
struct BudgetCount {
    budget: Duration,
    requests: u32,
}

/// The time budgets that callers of one route send with their requests.
///
/// A caller on an open connection sends its full budget; one that had to open a connection first has
/// spent a part of it by then. The difference is the round-trip time, which a host cannot see in any
/// other way. See docs/PLATFORM.md.
#[derive(Clone, Debug, Default)]
pub struct CallerBudgets {
    /// Sorted by budget.
    counts: Vec<BudgetCount>,
    requests: u32,
}

impl CallerBudgets {
    /// Records the budget of a request on a connection that was already open.
    pub fn record(&mut self, budget: Duration) {
        self.requests += 1;
        if self.requests > HALVE_AFTER_REQUESTS {
            self.requests = 0;
            self.counts.iter_mut().for_each(|count| count.requests /= 2);
            self.counts.retain(|count| count.requests > 0);
        }
        match self.counts.binary_search_by_key(&budget, |count| count.budget) {
            Ok(at) => self.counts[at].requests += 1,
            Err(at) => {
                self.counts.insert(at, BudgetCount { budget, requests: 1 });
                self.drop_rarest(budget);
            }
        }
    }

    /// Returns how much of its full budget a caller had spent when it sent this one; `None` where no full
    /// budget is known that is at least as large.
    #[must_use]
    pub fn elapsed(&self, sent: Duration) -> Option<Duration> {
        let first = self.counts.partition_point(|count| count.budget < sent);
        let full = self.counts[first..].iter().find(|count| count.requests >= FULL_BUDGET_REQUESTS_MIN)?;
        Some(full.budget - sent)
    }

    fn drop_rarest(&mut self, latest: Duration) {
        if self.counts.len() > BUDGETS_MAX {
            let others = self.counts.iter().enumerate().filter(|(_, count)| count.budget != latest);
            if let Some((rarest, _)) = others.min_by_key(|(_, count)| count.requests) {
                self.counts.remove(rarest);
            }
        }
    }
}
