//! When a host concludes that it is partitioned from all targets.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_policy::{ReachChange, TargetReach};

const TYPICAL: Duration = Duration::from_millis(20);

fn target(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn one_target_that_fails_starts_no_check() {
    let start = Instant::now();
    let mut reach = TargetReach::default();
    reach.connection_failed(target(1));
    reach.connection_failed(target(1));
    assert!(!reach.start_check(start));
    reach.connection_failed(target(2));
    assert!(reach.start_check(start));
    assert!(!reach.start_check(start), "one check at a time");
}

#[test]
fn a_connection_that_opens_clears_failures_of_others() {
    let mut reach = TargetReach::default();
    reach.connection_failed(target(1));
    reach.connected(target(3));
    reach.connection_failed(target(2));
    assert!(!reach.start_check(Instant::now()));
}

/// Between a host and all targets, a device may accept each connection and reset it during its first exchange.
#[test]
fn a_connection_that_opens_and_breaks_clears_no_failures() {
    let mut reach = TargetReach::default();
    for at in 1..=2 {
        assert!(!reach.start_check(Instant::now()));
        reach.connected(target(at));
        reach.connection_failed(target(at));
    }
    assert!(reach.start_check(Instant::now()));
}

#[test]
fn exchanges_without_any_answer_start_a_check_and_answers_of_any_target_prevent_it() {
    let start = Instant::now();
    let mut reach = TargetReach::default();
    reach.begin(start, TYPICAL);
    reach.begin(after(start, 10), TYPICAL);
    assert!(!reach.start_check(after(start, 90)));
    reach.answered(after(start, 95), TYPICAL);
    assert!(!reach.start_check(after(start, 110)));
    assert!(reach.start_check(after(start, 195)));
}

#[test]
fn a_host_without_exchanges_is_not_silent() {
    let start = Instant::now();
    let mut reach = TargetReach::default();
    reach.begin(start, TYPICAL);
    reach.answered(after(start, 20), TYPICAL);
    reach.end();
    assert!(!reach.start_check(after(start, 5000)));
}

#[test]
fn reach_is_lost_only_when_a_check_reaches_no_target_and_regained_by_one_that_does() {
    let start = Instant::now();
    let mut reach = TargetReach::default();
    reach.begin(start, TYPICAL);
    assert!(reach.start_check(after(start, 100)));
    assert_eq!(reach.end_check(after(start, 101), true), None);
    reach.begin(after(start, 102), TYPICAL);
    assert!(!reach.start_check(after(start, 400)), "the last check is recent");
    assert!(reach.start_check(after(start, 1200)));
    assert_eq!(reach.end_check(after(start, 1300), false), Some(ReachChange::Lost));
    assert!(reach.is_lost());
    assert!(!reach.start_check(after(start, 1400)));
    assert!(reach.start_check(after(start, 1600)));
    assert_eq!(reach.end_check(after(start, 1700), false), None);
    assert!(reach.start_check(after(start, 2000)));
    let regained = ReachChange::Regained(Duration::from_millis(710));
    assert_eq!(reach.end_check(after(start, 2010), true), Some(regained));
    assert!(!reach.is_lost());
}
