//! Which shards a gather asks while some of them are overloaded.

use std::time::Duration;

/// What a gather may expect of one shard's best replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardOutlook {
    /// How long a part is likely to take; `None` where there is no replica.
    pub expected: Option<Duration>,
    /// Whether a slot seems free, so that the part would delay nobody.
    pub has_room: bool,
    /// How much longer all replicas want nothing; zero where one takes work.
    pub closed_for: Duration,
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
pub fn on_time(to_goal: Duration) -> Duration {
    to_goal.mul_f64(ON_TIME_SHARE)
}

/// Chooses the shards that a gather asks.
///
/// Answers the load of a day on which some shards' replicas are slow: what these shards are
/// asked beyond their capacity would come late for every query. A query that has enough
/// shards without them leaves them out, which leaves their capacity to the others; one that
/// needs them takes their free slots; one that finds none is refused before any part runs.
#[must_use]
pub fn choose_shards(outlooks: &[ShardOutlook], least: usize, to_goal: Duration) -> ShardChoice {
    let on_time = on_time(to_goal);
    let is_open = |at: &usize| outlooks[*at].expected.is_some() && outlooks[*at].closed_for.is_zero();
    let mut order: Vec<usize> = (0..outlooks.len()).filter(is_open).collect();
    order.sort_by_key(|&at| outlooks[at].expected);
    let in_time = order.iter().filter(|&&at| outlooks[at].expected <= Some(on_time)).count();
    if in_time >= least {
        order.truncate(in_time);
        order.sort_unstable();
        return ShardChoice::Ask(order);
    }
    let needed: Vec<usize> = order.iter().copied().take(least).collect();
    let late = &needed[in_time.min(needed.len())..];
    let is_worth_asking = |at: &usize| outlooks[*at].has_room || outlooks[*at].expected <= Some(to_goal);
    let is_possible = needed.len() >= least && late.iter().all(is_worth_asking);
    if is_possible {
        // Others with free slots may come in as well; those without would only wait.
        let mut asked: Vec<usize> = order
            .into_iter()
            .enumerate()
            .filter(|&(rank, at)| rank < least || outlooks[at].has_room)
            .map(|(_, at)| at)
            .collect();
        asked.sort_unstable();
        return ShardChoice::Ask(asked);
    }
    let lacking = least.saturating_sub(needed.len());
    if lacking > 0 {
        return ShardChoice::Refuse(opens_after(outlooks, lacking));
    }
    let worst = late.iter().filter_map(|&at| outlooks[at].expected).max().unwrap_or(COME_BACK_MAX);
    ShardChoice::Refuse(worst.clamp(COME_BACK_MIN, COME_BACK_MAX))
}

/// Returns how long it takes until so many closed shards are open.
fn opens_after(outlooks: &[ShardOutlook], lacking: usize) -> Duration {
    let mut closed: Vec<Duration> = outlooks
        .iter()
        .map(|outlook| outlook.closed_for)
        .filter(|closed_for| !closed_for.is_zero())
        .collect();
    closed.sort_unstable();
    closed.get(lacking - 1).copied().unwrap_or(COME_BACK_MAX).max(COME_BACK_MIN)
}
