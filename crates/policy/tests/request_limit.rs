//! The limits that targets state hold for all hosts together, although each counts only its own requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_policy::{LimitShare, RequestLimit};

/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long a run lasts, and the time between two requests that a host would send.
const RUN: Duration = Duration::from_secs(40);
const STEP: Duration = Duration::from_millis(10);

fn addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|at| format!("10.0.{}.{}:80", at / 200, at % 200 + 1).parse().unwrap()).collect()
}

fn window_max(per_s: f64) -> usize {
    (WINDOW.as_secs_f64() * per_s * 1.5 + 5.0) as usize
}

/// Every host sends as much as it may; `views` returns the hosts that a host knows after some time.
/// Returns the most requests within a window, and how many there were in all.
fn play(hosts: usize, per_s: f64, views: impl Fn(usize, Duration) -> usize) -> (usize, usize) {
    let all = addresses(hosts);
    let start = Instant::now();
    let share = |own: usize, known: usize| LimitShare::of(all[own], "target", &all[..known.max(own + 1)]);
    let mut limits: Vec<RequestLimit> = (0..hosts)
        .map(|own| RequestLimit::new(start, per_s, share(own, views(own, Duration::ZERO))))
        .collect();
    let mut seen: Vec<usize> = (0..hosts).map(|own| views(own, Duration::ZERO)).collect();
    let mut sent: Vec<Duration> = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < RUN {
        passed += STEP;
        for (own, limit) in limits.iter_mut().enumerate() {
            let now = start + passed;
            let known = views(own, passed);
            if known == 0 {
                continue;
            }
            if seen[own] != known {
                seen[own] = known;
                limit.set_share(now, share(own, known));
            }
            while limit.time_until_room(now).is_zero() {
                limit.take(now);
                sent.push(passed);
            }
        }
    }
    let within = |from: usize| sent[from..].iter().take_while(|at| **at < sent[from] + WINDOW).count();
    ((0..sent.len()).map(within).max().unwrap_or(0), sent.len())
}

#[test]
fn a_limit_is_kept_and_used_by_any_number_of_hosts() {
    for hosts in [1, 3, 12, 20, 145] {
        for per_s in [0.5, 2.0, 22.5, 300.0] {
            let (most, total) = play(hosts, per_s, |_, _| hosts);
            assert!(most <= window_max(per_s), "{hosts} hosts, {per_s} per second: {most}");
            let usual = per_s * RUN.as_secs_f64();
            assert!(total as f64 >= 0.8 * usual, "{hosts} hosts, {per_s} per second: {total} of {usual}");
        }
    }
}

/// A host that joins has a share at once, and the others learn of it within a second.
#[test]
fn a_limit_is_kept_while_hosts_join() {
    for (hosts, joining) in [(3, 1), (14, 4), (60, 12)] {
        for per_s in [0.5, 2.0, 22.5, 300.0] {
            let joined_at = RUN / 2;
            let known = |own: usize, passed: Duration| {
                let is_new = own >= hosts - joining;
                match passed.checked_sub(joined_at) {
                    None if is_new => 0,
                    None => hosts - joining,
                    Some(since) if !is_new && since < Duration::from_secs(1) => hosts - joining,
                    Some(_) => hosts,
                }
            };
            let (most, _) = play(hosts, per_s, known);
            assert!(most <= window_max(per_s), "{hosts} hosts, {per_s} per second: {most}");
        }
    }
}

#[test]
fn saved_up_requests_stay_within_the_limit_after_an_idle_time() {
    for hosts in [1, 3, 12, 145] {
        for per_s in [0.5, 2.0, 22.5, 300.0] {
            let all = addresses(hosts);
            let start = Instant::now();
            let mut sent = 0;
            for own in &all {
                let mut limit = RequestLimit::new(start, per_s, LimitShare::of(*own, "target", &all));
                let now = start + Duration::from_secs(60);
                while limit.time_until_room(now).is_zero() {
                    limit.take(now);
                    sent += 1;
                }
            }
            let rest = (WINDOW.as_secs_f64() * per_s) as usize;
            assert!(sent + rest <= window_max(per_s), "{hosts} hosts, {per_s} per second: {sent} at once");
        }
    }
}

#[test]
fn a_limit_of_zero_ends_no_use_for_ever() {
    let hosts = addresses(20);
    let start = Instant::now();
    let later = start + Duration::from_secs(120);
    for own in &hosts {
        let limit = RequestLimit::new(start, 0.0, LimitShare::of(*own, "target", &hosts));
        assert!(limit.is_outdated(later) || limit.time_until_room(later).is_zero());
    }
}

#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let hosts = addresses(1);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut limit = RequestLimit::new(at(100), 5.0, LimitShare::of(hosts[0], "target", &hosts));
    limit.state(at(300), 5.0);
    assert!(!limit.is_ended_by_answer_to(at(200)));
    assert!(limit.is_ended_by_answer_to(at(300)));
}
