//! Hosts that come, go, pause and restart.

use std::time::{Duration, Instant};

use egret_members::{FORGET_AFTER, Member, Membership, SUSPECT_AFTER};

fn member(last: u8, incarnation: u64, beat: u64) -> Member {
    let address = format!("10.0.0.{last}:80").parse().unwrap();
    Member { beat, ..Member::new(address, "seeb", incarnation) }
}

#[test]
fn a_member_lives_while_its_counter_advances() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1, 0));
    let half = SUSPECT_AFTER / 2;
    for round in 0..6_u32 {
        let now = start + half * round;
        membership.learn(now, &member(2, 1, u64::from(round)));
        membership.learn(now, &member(3, 1, 0));
    }
    let now = start + half * 5;
    let live: Vec<_> = membership.live(now).map(|member| member.address).collect();
    assert_eq!(live, [member(1, 0, 0).address, member(2, 0, 0).address]);
}

#[test]
fn lost_hosts_count_for_the_size_until_they_are_forgotten() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1, 0));
    membership.learn(start, &member(2, 1, 0));
    membership.beat(start + SUSPECT_AFTER);
    assert_eq!(membership.size(), 2);
    membership.beat(start + FORGET_AFTER);
    assert_eq!(membership.size(), 1);
}

#[test]
fn a_run_with_a_clock_set_back_takes_a_greater_incarnation() {
    let start = Instant::now();
    let mut other = Membership::new(start, member(2, 1, 0));
    other.learn(start, &member(1, 50, 9));
    let mut own = Membership::new(start, member(1, 40, 0));
    for told in other.told(start) {
        own.learn(start, &told);
    }
    let later = start + Duration::from_secs(1);
    other.learn(later, own.own());
    assert!(own.own().incarnation > 50);
    assert!(other.live(later + SUSPECT_AFTER - Duration::from_secs(1)).any(|member| member == own.own()));
}

#[test]
fn a_leaving_host_is_not_live() {
    let start = Instant::now();
    let mut leaver = Membership::new(start, member(2, 1, 0));
    let mut other = Membership::new(start, member(1, 1, 0));
    other.learn(start, leaver.own());
    leaver.leave();
    other.learn(start, leaver.own());
    assert_eq!(other.live(start).count(), 1);
    assert!(other.draw(start, 5).is_empty());
}

#[test]
fn messages_do_not_grow_with_the_fleet() {
    let start = Instant::now();
    let mut membership = Membership::new(start, member(1, 1, 0));
    for last in 2..200 {
        membership.learn(start, &member(last, 1, 0));
    }
    let told = membership.told(start);
    assert!(told.len() <= 25, "{}", told.len());
    assert_eq!(&told[0], membership.own());
}
