//! When refused callers are told to return, and who returns as told.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The least time until a return; a shorter one cannot be told from the time that a new connection takes.
const RETURN_AFTER_MIN: Duration = Duration::from_millis(50);
/// The longest time until a return that is told.
const RETURN_AFTER_MAX: Duration = Duration::from_secs(10);
/// The share of the expected starts that is promised to refused callers; the rest is for new ones.
const PROMISED_SHARE: f64 = 0.5;
/// How much earlier than told a caller may return: its clock and its way to this host differ.
const EARLY_MAX: Duration = Duration::from_millis(20);
/// The most promises that are remembered.
const PROMISES_MAX: usize = 256;

/// A caller that was refused and told when to return.
#[derive(Clone, Copy, Debug)]
struct Promise {
    refused_at: Instant,
    return_at: Instant,
}

/// The times at which refused callers are told to return: one after the other, as fast as queries are expected to start.
///
/// A constant time would bring all of them back at once, to be refused again. A host does not know its callers, and a
/// caller returns to another host, whose schedule is similar under the same load; so whether a caller returns as told is
/// judged by how long ago it was refused.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    next_return_at: Option<Instant>,
    /// Sorted by the time of the refusal.
    promises: VecDeque<Promise>,
}

impl ReturnSchedule {
    /// Returns after what time a caller that is refused now should return.
    pub fn promise(&mut self, now: Instant, starts_per_s: f64) -> Duration {
        let spacing = Duration::from_secs_f64(1.0 / (starts_per_s * PROMISED_SHARE).max(0.1));
        let earliest = now + RETURN_AFTER_MIN;
        let after_others = self.next_return_at.map_or(earliest, |at| at + spacing);
        let return_at = after_others.clamp(earliest, now + RETURN_AFTER_MAX);
        self.next_return_at = Some(return_at);
        if self.promises.len() == PROMISES_MAX {
            self.promises.pop_front();
        }
        self.promises.push_back(Promise { refused_at: now, return_at });
        return_at.saturating_duration_since(now)
    }

    /// Returns whether a caller that spent `spent` of its time budget before this request was refused then and returns as
    /// told, not earlier.
    #[must_use]
    pub fn is_return(&self, now: Instant, spent: Duration) -> bool {
        if spent + EARLY_MAX < RETURN_AFTER_MIN {
            return false;
        }
        let Some(refused_at) = now.checked_sub(spent) else { return false };
        let after = self.promises.partition_point(|promise| promise.refused_at < refused_at);
        let nearest = self.promises.get(after).or_else(|| self.promises.back());
        nearest.is_some_and(|promise| {
            let told = promise.return_at.saturating_duration_since(promise.refused_at);
            told <= spent + EARLY_MAX
        })
    }
}
