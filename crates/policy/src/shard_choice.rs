//! Which shards a gather asks while some of them are overloaded.

use std::time::Duration;

/// What a gather may expect of one shard's best replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardEstimate {
    /// How long a part is likely to take; `None` where there is no replica.
    pub expected_latency: Option<Duration>,
    /// Whether a slot seems free, so that the part would delay nobody.
    pub has_free_slot: bool,
    /// How much longer all replicas want nothing; zero where one takes work.
    pub backoff_left: Duration,
}

/// What a gather does at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardChoice {
    /// Ask these shards; the indices are in order.
    Ask(Vec<usize>),
    /// Refuse the request before any part runs; a caller may come back after this time.
    Refuse(Duration),
}

/// The share of the time to the goal that a part may be expected to take; the rest is for
/// what the estimate misses.
const ON_TIME_SHARE: f64 = 0.7;
/// The least and the greatest time after which a refused caller is asked to come back.
const COME_BACK_MIN: Duration = Duration::from_millis(150);
const COME_BACK_MAX: Duration = Duration::from_millis(1000);

/// Returns the longest time that a part may be expected to take, for it to be in by the goal.
#[must_use]
pub fn max_expected_latency(to_goal: Duration) -> Duration {
    to_goal.mul_f64(ON_TIME_SHARE)
}

/// Chooses the shards that a gather asks.
///
/// Answers the load of a day on which some shards' replicas are slow: what these shards are
/// asked beyond their capacity would come late for every query. A query asks a shard that has
/// a free slot, or whose part is likely to be in by the goal; a slot that is free delays nobody.
/// The others are left out where enough remain; a query that needs them asks those that promise
/// a part by the goal at all, and is refused before any part runs where there are too few.
#[must_use]
pub fn choose_shards(outlooks: &[ShardEstimate], least: usize, to_goal: Duration) -> ShardChoice {
    let is_open =
        |at: &usize| outlooks[*at].expected_latency.is_some() && outlooks[*at].backoff_left.is_zero();
    let is_by = |at: usize, within: Duration| {
        outlooks[at].has_free_slot || outlooks[at].expected_latency <= Some(within)
    };
    let mut order: Vec<usize> = (0..outlooks.len()).filter(is_open).collect();
    order.sort_by_key(|&at| (!is_by(at, max_expected_latency(to_goal)), outlooks[at].expected_latency));
    if order.len() < least {
        return ShardChoice::Refuse(opens_after(outlooks, least - order.len()));
    }
    let hopeful = order.iter().filter(|&&at| is_by(at, max_expected_latency(to_goal))).count();
    let (needed, _) = order.split_at(least);
    if let Some(&late) = needed.iter().rev().find(|&&at| !is_by(at, to_goal)) {
        let worst = outlooks[late].expected_latency.unwrap_or(COME_BACK_MAX);
        return ShardChoice::Refuse(worst.clamp(COME_BACK_MIN, COME_BACK_MAX));
    }
    order.truncate(hopeful.max(least));
    order.sort_unstable();
    ShardChoice::Ask(order)
}

/// Returns how long it takes until so many closed shards are open.
fn opens_after(outlooks: &[ShardEstimate], lacking: usize) -> Duration {
    let mut closed: Vec<Duration> = outlooks
        .iter()
        .map(|outlook| outlook.backoff_left)
        .filter(|backoff_left| !backoff_left.is_zero())
        .collect();
    closed.sort_unstable();
    closed.get(lacking - 1).copied().unwrap_or(COME_BACK_MAX).max(COME_BACK_MIN)
}
