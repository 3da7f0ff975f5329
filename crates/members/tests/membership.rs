//! The membership view while hosts join, leave, pause and restart.

use std::time::{Duration, Instant};

use egret_members::{GONE_RETENTION, Member, MemberState, Membership, SUSPICION_TIMEOUT};

fn member(last: u8, incarnation: u64) -> Member {
    Member::new(format!("10.0.0.{last}:80").parse().unwrap(), "seeb", incarnation)
}

fn exchange(now: Instant, a: &mut Membership, b: &mut Membership) {
    let (from_a, from_b) = (a.next_updates(), b.next_updates());
    for member in from_a {
        b.merge(now, &member);
    }
    for member in from_b {
        a.merge(now, &member);
    }
}

#[test]
fn a_member_is_live_until_it_leaves_a_message_unanswered() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1));
    membership.merge(start, &member(2, 1));
    let later = start + Duration::from_secs(3600);
    assert_eq!(membership.live(later).count(), 2);
    membership.suspect(later, member(2, 0).address);
    assert_eq!(membership.live(later).count(), 2);
    assert_eq!(membership.live(later + SUSPICION_TIMEOUT).count(), 1);
    assert_eq!(membership.sample_unreachable(later + SUSPICION_TIMEOUT), Some(member(2, 0).address));
}

#[test]
fn a_suspect_that_learns_of_the_suspicion_refutes_it() {
    let begin = Instant::now();
    let mut a = Membership::new(begin, member(1, 1));
    let mut b = Membership::new(begin, member(2, 1));
    let mut c = Membership::new(begin, member(3, 1));
    let start = begin + Duration::from_secs(60);
    exchange(start, &mut a, &mut b);
    exchange(start, &mut a, &mut c);
    a.suspect(start, b.own().address);
    exchange(start, &mut a, &mut c);
    exchange(start, &mut c, &mut b);
    exchange(start, &mut b, &mut a);
    assert_eq!(a.live(start + SUSPICION_TIMEOUT).count(), 3);
}

#[test]
fn lost_hosts_count_in_the_size_for_the_retention_time() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1));
    membership.merge(start, &member(2, 1));
    membership.suspect(start, member(2, 0).address);
    membership.refresh(start + SUSPICION_TIMEOUT, 0);
    assert_eq!(membership.size(), 2);
    membership.refresh(start + GONE_RETENTION, 0);
    assert_eq!(membership.size(), 1);
}

#[test]
fn a_host_restarted_with_its_clock_set_back_raises_its_incarnation() {
    let begin = Instant::now();
    let start = begin + Duration::from_secs(60);
    let mut other = Membership::new(begin, member(2, 1));
    other.merge(start, &Member { state: MemberState::Gone, ..member(1, 50) });
    let mut own = Membership::new(start, member(1, 40));
    exchange(start, &mut other, &mut own);
    exchange(start, &mut other, &mut own);
    assert!(own.own().incarnation > 50);
    assert!(other.live(start).any(|member| member == own.own()));
}

#[test]
fn a_leaving_host_is_not_live() {
    let start = Instant::now();
    let mut leaver = Membership::new(start, member(2, 1));
    let mut other = Membership::new(start, member(1, 1));
    exchange(start, &mut leaver, &mut other);
    leaver.leave();
    exchange(start, &mut leaver, &mut other);
    assert_eq!(other.live(start).count(), 1);
    assert!(other.sample_live(start, 5).is_empty());
}

#[test]
fn message_size_is_bounded_and_changes_stop_being_sent() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1));
    let later = start + Duration::from_secs(60);
    for last in 2..200 {
        membership.merge(later, &member(last, 1));
    }
    let sizes: Vec<usize> = (0..2000).map(|_| membership.next_updates().len()).collect();
    assert!(sizes.iter().all(|&size| size <= 9), "{sizes:?}");
    assert_eq!(sizes.last(), Some(&1), "a change is still sent after 2000 messages");
}

#[test]
fn a_new_host_learns_all_members_within_three_exchanges() {
    let start = Instant::now();
    let mut old = Membership::new(start, member(1, 1));
    for last in 3..120 {
        old.merge(start, &member(last, 1));
    }
    let mut newcomer = Membership::new(start, member(2, 1));
    let mut rounds = 0;
    while newcomer.size() < 119 {
        rounds += 1;
        // The other host takes the newcomer's message before it replies, so its size counts both.
        old.merge(start, newcomer.own());
        for member in old.bootstrap_sample(start, newcomer.live_count(start)) {
            newcomer.merge(start, &member);
        }
        newcomer.merge(start, old.own());
        assert!(rounds <= 3, "{} known after {rounds} rounds", newcomer.size());
    }
}

#[test]
fn only_the_source_pushes_a_change_to_other_data_centres() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1));
    for last in 2..=30 {
        let data_centre = ["seeb", "rusayl", "barka"][usize::from(last) % 3];
        membership.merge(start, &Member::new(member(last, 1).address, data_centre, 1));
    }
    let centres = |pushed_to: Vec<std::net::SocketAddr>| {
        let of = |address| membership.live(start).find(|m| m.address == address).unwrap();
        let mut names: Vec<String> = pushed_to.into_iter().map(|at| of(at).data_centre.to_string()).collect();
        names.sort();
        names
    };
    assert_eq!(centres(membership.sample_push_peers(start, 3, false)), ["seeb", "seeb", "seeb"]);
    assert_eq!(
        centres(membership.sample_push_peers(start, 3, true)),
        ["barka", "rusayl", "seeb", "seeb", "seeb"]
    );
}

#[test]
fn a_host_alone_in_its_data_centre_pushes_to_other_ones() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1));
    membership.merge(start, &Member::new(member(2, 1).address, "rusayl", 1));
    assert_eq!(membership.sample_push_peers(start, 3, false), [member(2, 1).address]);
}
