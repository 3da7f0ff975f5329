//! The queue of admission: ranks first, then senders in turns.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use egret_policy::{AdmissionQueue, QueryRank, QueuedQuery, ReturnState, SenderTurns};
use quickcheck::quickcheck;

fn sender(at: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(at))
}

fn query(start: Instant, id: u64, priority: u32, sent_by: u32) -> QueuedQuery {
    let queued_at = start + Duration::from_millis(id);
    QueuedQuery {
        id,
        rank: QueryRank { priority, returning: ReturnState::New },
        sender: sender(sent_by),
        queued_at,
        wait_until: start + Duration::from_secs(5),
        asked_at: queued_at,
        return_within: Duration::from_secs(1),
    }
}

/// Takes all queries out in the order in which they start.
fn drain(queue: &mut AdmissionQueue, now: Instant) -> Vec<QueuedQuery> {
    let next = || {
        let next = queue.pop(now, true, |_| true)?;
        queue.record_start(now, next.sender);
        Some(next)
    };
    std::iter::from_fn(next).collect()
}

/// Guards against a sender whose many queries all start before the one of another sender.
#[test]
fn senders_take_turns_within_a_rank() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.record_start(start, sender(2));
    for id in 0..6 {
        queue.push(query(start, id, 1, 1));
    }
    queue.push(query(start, 6, 1, 2));
    queue.push(query(start, 7, 1, 2));
    queue.push(query(start, 8, 0, 1));
    let late = query(start, 9, 1, 3);
    assert_eq!(queue.ahead_of(&late), 2, "the higher rank, and the other sender that was never started");
    queue.push(late);
    let order: Vec<u64> = drain(&mut queue, start).iter().map(|query| query.id).collect();
    assert_eq!(order, [8, 9, 6, 0, 7, 1, 2, 3, 4, 5]);
}

/// Guards against a memory of senders that grows with them.
#[test]
fn the_sender_that_was_started_least_recently_is_forgotten_first() {
    let (mut turns, start) = (SenderTurns::default(), Instant::now());
    (0..1000).for_each(|at| turns.record_start(start, sender(at)));
    assert_eq!(turns.turn(sender(0)), 0);
    assert!(turns.turn(sender(998)) < turns.turn(sender(999)) && turns.turn(sender(998)) > 0);
}

/// Guards against a sender that takes all room as it becomes free while another one is refused, against one that is held
/// back for longer than the others ask, and against an idle host.
#[test]
fn a_sender_that_had_more_starts_leaves_room_to_one_that_was_refused() {
    let (mut queue, start) = (AdmissionQueue::default(), Instant::now());
    let rank = |priority| QueryRank { priority, returning: ReturnState::New };
    let later = |millis| start + Duration::from_millis(millis);
    (0..4).for_each(|_| queue.record_start(start, sender(1)));
    assert!(queue.is_within_share(start, sender(1), rank(1)), "nobody else asks");
    queue.record_contention(start, sender(2), rank(1));
    assert!(!queue.is_within_share(later(10), sender(1), rank(1)));
    assert!(queue.is_within_share(later(10), sender(2), rank(1)));
    assert!(queue.is_within_share(later(10), sender(1), rank(0)), "a lower rank holds up a higher one");
    queue.push(query(start, 7, 1, 1));
    assert_eq!(queue.pop(later(10), false, |_| true), None);
    assert!(queue.is_within_share(later(150), sender(1), rank(1)));
    assert_eq!(queue.pop(later(10), true, |_| true).map(|query| query.id), Some(7), "the host is idle");
}

quickcheck! {
    /// Guards against a lower rank that starts first, a query that is lost, and a sender that is passed over more than
    /// once while it waits.
    fn ranks_keep_their_order_and_no_sender_is_passed_over_twice(queries: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let mut queue = AdmissionQueue::default();
        for (id, (priority, sent_by)) in queries.iter().enumerate() {
            queue.push(query(start, id as u64, u32::from(priority % 3), u32::from(sent_by % 5)));
        }
        let order = drain(&mut queue, start + Duration::from_millis(500));
        let is_by_rank = order.windows(2).all(|pair| pair[0].rank <= pair[1].rank);
        let is_fair = order.iter().enumerate().all(|(at, query)| {
            // Between two starts of another sender, this one starts if it waits.
            (0..5).map(sender).filter(|other| *other != query.sender).all(|other| {
                let before = order[..at].iter().rev();
                let since = before.take_while(|earlier| earlier.rank == query.rank && earlier.sender != query.sender);
                since.filter(|earlier| earlier.sender == other).count() <= 1
            })
        });
        order.len() == queries.len() && is_by_rank && is_fair
    }

    /// Guards against a wait that is expected too short: a query that is queued would be refused late.
    fn the_queries_ahead_start_before_it(queries: Vec<(u8, u8)>, last: (u8, u8)) -> bool {
        let start = Instant::now();
        let mut queue = AdmissionQueue::default();
        (0..3).for_each(|at| queue.record_start(start, sender(at)));
        for (id, (priority, sent_by)) in queries.iter().enumerate() {
            queue.push(query(start, id as u64, u32::from(priority % 3), u32::from(sent_by % 5)));
        }
        let last = query(start, 1000, u32::from(last.0 % 3), u32::from(last.1 % 5));
        let ahead = queue.ahead_of(&last);
        queue.push(last);
        let order = drain(&mut queue, start + Duration::from_secs(1));
        let place = order.iter().position(|query| query.id == 1000).unwrap();
        // Higher ranks that start before it may change the turns of their senders by one start each.
        place.abs_diff(ahead) <= 5 && (last.rank.priority > 0 || place == ahead)
    }
}
