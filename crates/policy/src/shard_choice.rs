//! The choice of the shards that a gather asks while some of them are overloaded.

use std::time::Duration;

/// The estimated latency and load of a shard's best replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardEstimate {
    /// The expected latency of the shard's part; `None` where there is no replica.
    pub expected_latency: Option<Duration>,
    /// Whether a slot is estimated to be free, so that the part would delay no other request.
    pub has_free_slot: bool,
    /// What is left until the first replica's backoff ends; zero where a replica takes work.
    pub backoff_left: Duration,
}

/// What a gather does when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardChoice {
    /// Ask these shards; the indices are in order.
    Ask(Vec<usize>),
    /// Refuse the request before any part runs; the caller may retry after this time.
    Refuse(Duration),
}

/// The share of the time to the latency objective that the expected latency of a part may use; the rest is
/// the margin for errors of the estimate.
const EXPECTED_SHARE_OF_OBJECTIVE: f64 = 0.7;
/// The least and the greatest time after which a refused caller is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1000);

/// Returns the greatest expected latency of a part that counts as in time for the latency objective.
#[must_use]
pub fn max_expected_latency(until_objective: Duration) -> Duration {
    until_objective.mul_f64(EXPECTED_SHARE_OF_OBJECTIVE)
}

/// Chooses the shards that a gather asks.
///
/// Where the replicas of some shards are slow for long, every request beyond their capacity makes the
/// parts of these shards late for every query. A query therefore asks a shard only where it has a free
/// slot, which delays no other request, or where its part is expected by the objective with a margin. It
/// skips the others where at least `min_shards` remain. A query that needs some of the others asks
/// those whose part is expected by the objective without the margin; where they are too few, it is refused
/// before any part runs.
#[must_use]
pub fn choose_shards(
    estimates: &[ShardEstimate],
    min_shards: usize,
    until_objective: Duration,
) -> ShardChoice {
    let takes_work =
        |at: &usize| estimates[*at].expected_latency.is_some() && estimates[*at].backoff_left.is_zero();
    let qualifies = |at: usize, within: Duration| {
        estimates[at].has_free_slot || estimates[at].expected_latency <= Some(within)
    };
    let mut order: Vec<usize> = (0..estimates.len()).filter(takes_work).collect();
    order.sort_by_key(|&at| {
        (!qualifies(at, max_expected_latency(until_objective)), estimates[at].expected_latency)
    });
    if order.len() < min_shards {
        return ShardChoice::Refuse(first_backoffs_end(estimates, min_shards - order.len()));
    }
    let qualified = order.iter().filter(|&&at| qualifies(at, max_expected_latency(until_objective))).count();
    let (needed, _) = order.split_at(min_shards);
    if let Some(&unqualified) = needed.iter().rev().find(|&&at| !qualifies(at, until_objective)) {
        let worst = estimates[unqualified].expected_latency.unwrap_or(RETRY_AFTER_MAX);
        return ShardChoice::Refuse(worst.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
    }
    order.truncate(qualified.max(min_shards));
    order.sort_unstable();
    ShardChoice::Ask(order)
}

/// Returns the time after which the backoffs of as many shards as are missing have ended.
fn first_backoffs_end(estimates: &[ShardEstimate], missing: usize) -> Duration {
    let mut backoffs: Vec<Duration> = estimates
        .iter()
        .map(|estimate| estimate.backoff_left)
        .filter(|backoff_left| !backoff_left.is_zero())
        .collect();
    backoffs.sort_unstable();
    backoffs.get(missing - 1).copied().unwrap_or(RETRY_AFTER_MAX).max(RETRY_AFTER_MIN)
}
