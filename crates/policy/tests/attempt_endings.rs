//! Which attempts complete after their request has ended, and for how long.

use std::time::{Duration, Instant};

use egret_policy::{AttemptEnding, SentAttempt};
use quickcheck::quickcheck;

/// After a caller has closed its connection, its work at targets ends within this time.
const WORK_ENDS_WITHIN: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An attempt that was sent at `sent_at` to a target with this many service times of work ahead of it.
fn attempt(sent_at: Instant, service_ms: u64, queued: u32) -> SentAttempt {
    SentAttempt {
        sent_at,
        had_free_slot: queued == 0,
        service_time: ms(service_ms),
        expected_latency: ms(service_ms) * (queued + 1),
    }
}

fn completes(ending: AttemptEnding) -> bool {
    ending != AttemptEnding::Cancel
}

/// Closing the connection of a running attempt wastes its work, and opening the next one costs a slot.
#[test]
fn an_attempt_that_found_a_free_slot_completes_within_a_few_service_times() {
    let sent_at = Instant::now();
    let now = sent_at + ms(15);
    let ending = attempt(sent_at, 20, 0).ending(now, sent_at + ms(2000));
    assert_eq!(ending, AttemptEnding::CompleteUntil(now + ms(80)));
}

/// An attempt that completes although it is still queued takes the slot from a request that is needed.
#[test]
fn a_queued_attempt_is_cancelled_until_its_turn_has_come() {
    let sent_at = Instant::now();
    let deadline = sent_at + ms(2000);
    let queued = attempt(sent_at, 20, 4);
    assert!(!completes(queued.ending(sent_at, deadline)));
    assert!(!completes(queued.ending(sent_at + ms(79), deadline)));
    assert!(completes(queued.ending(sent_at + ms(80), deadline)));
    assert!(completes(queued.ending(sent_at + ms(120), deadline)));
}

/// A queue that is longer than was known makes every attempt in it overdue.
#[test]
fn a_queued_attempt_that_is_long_overdue_is_cancelled() {
    let sent_at = Instant::now();
    assert!(!completes(attempt(sent_at, 20, 4).ending(sent_at + ms(121), sent_at + ms(2000))));
}

#[test]
fn nothing_goes_on_at_or_after_the_deadline() {
    let sent_at = Instant::now();
    let deadline = sent_at + ms(30);
    assert_eq!(
        attempt(sent_at, 20, 0).ending(sent_at + ms(10), deadline),
        AttemptEnding::CompleteUntil(deadline)
    );
    assert!(!completes(attempt(sent_at, 20, 0).ending(deadline, deadline)));
}

quickcheck! {
    /// A caller may close its connection right after its answer; a long attempt must not outlast that
    /// by more than is allowed.
    fn an_attempt_goes_on_neither_for_long_nor_beyond_the_deadline(
        age_ms: u16, service_ms: u16, queued: u8, deadline_ms: u16
    ) -> bool {
        let sent_at = Instant::now();
        let now = sent_at + ms(u64::from(age_ms));
        let deadline = sent_at + ms(u64::from(deadline_ms));
        match attempt(sent_at, u64::from(service_ms), u32::from(queued)).ending(now, deadline) {
            AttemptEnding::Cancel => true,
            AttemptEnding::CompleteUntil(until) => {
                until > now && until <= deadline && until < now + WORK_ENDS_WITHIN
            }
        }
    }
}
