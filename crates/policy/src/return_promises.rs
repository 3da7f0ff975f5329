//! When refused callers are told to return, and who returns as told.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::ReturnState;

/// The least time until a return; a shorter one cannot be told from the time that a new connection takes.
const RETURN_AFTER_MIN: Duration = Duration::from_millis(50);
/// What a caller is told for whom there will be no capacity before it has to give up.
const RETURN_AFTER_MAX: Duration = Duration::from_secs(10);
/// The share of the expected starts that is promised to refused callers; the rest is for new ones, whose answers can
/// still be in time.
const PROMISED_SHARE: f64 = 0.1;
/// How much earlier than told a caller may return: its clock and its way to this host differ.
const EARLY_MAX: Duration = Duration::from_millis(20);
/// How much later than told it may return.
const LATE_MAX: Duration = Duration::from_millis(100);
/// The most promises that are remembered.
const PROMISES_MAX: usize = 256;

/// A caller that was refused and told when to return.
#[derive(Clone, Copy, Debug)]
struct Promise {
    /// When its caller first asked, which the time budget of each of its requests shows.
    asked_at: Instant,
    return_at: Instant,
}

/// The times at which refused callers are told to return: one after the other, as fast as queries are expected to start.
///
/// A constant time would bring all of them back at once, to be refused again. Under a lasting overload most cannot be
/// promised anything. A caller may return to another host, whose schedule is similar under the same load; so whether it
/// returns as told is judged by when it first asked.
#[derive(Clone, Debug, Default)]
pub struct ReturnPromises {
    next_return_at: Option<Instant>,
    /// In the order of the refusals.
    promises: VecDeque<Promise>,
}

impl ReturnPromises {
    /// Returns after what time a caller that is refused now should return, and promises it a start then, not before
    /// `not_before`.
    ///
    /// A caller that first asked at `asked_at` and cannot wait that long, only `return_within`, is promised nothing.
    pub fn promise(
        &mut self,
        now: Instant,
        not_before: Instant,
        asked_at: Instant,
        starts_per_s: f64,
        return_within: Duration,
    ) -> Duration {
        let spacing = Duration::from_secs_f64(1.0 / (starts_per_s * PROMISED_SHARE).max(0.1));
        let earliest = not_before.max(now + RETURN_AFTER_MIN);
        let return_at = self.next_return_at.map_or(earliest, |at| (at + spacing).max(earliest));
        if return_at > now + return_within {
            return RETURN_AFTER_MAX;
        }
        self.next_return_at = Some(return_at);
        if self.promises.len() == PROMISES_MAX {
            self.promises.pop_front();
        }
        self.promises.push_back(Promise { asked_at, return_at });
        return_at.saturating_duration_since(now)
    }

    /// Returns whether a caller was refused before, and whether it returns as told, which it may do once. It spent `spent`
    /// of its time budget before this request, and first asked at `asked_at`.
    pub fn redeem(&mut self, now: Instant, spent: Duration, asked_at: Instant) -> ReturnState {
        if spent + EARLY_MAX < RETURN_AFTER_MIN {
            return ReturnState::New;
        }
        let is_this = |promise: &Promise| {
            let return_at = promise.return_at;
            promise.asked_at <= asked_at + EARLY_MAX
                && asked_at <= promise.asked_at + EARLY_MAX
                && return_at <= now + EARLY_MAX
                && now <= return_at + LATE_MAX
        };
        // Callers that could not be promised anything return at the same time as some that could.
        match self.promises.iter().position(is_this) {
            Some(at) => {
                self.promises.remove(at);
                ReturnState::AsTold
            }
            None => ReturnState::Unpromised,
        }
    }
}
