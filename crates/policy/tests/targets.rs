//! Load estimates of targets, retry budgets and weighted random choice.

use std::time::{Duration, Instant};

use egret_policy::{ExchangeEnd, RetryBudget, RetryLimits, TargetLoad, weighted_draw};

const TYPICAL_LATENCY: Duration = Duration::from_millis(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_paused_target_is_expensive_before_it_answers() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    load.begin(start, TYPICAL_LATENCY);
    assert!(load.cost(start + ms(40)) < 2.0);
    assert!(load.cost(start + ms(120)) > 5.0, "{}", load.cost(start + ms(120)));
}

#[test]
fn a_slow_target_is_expensive_until_its_slowness_decays() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    for round in 0..10 {
        let began = start + ms(round * 200);
        load.begin(began, TYPICAL_LATENCY);
        load.end(began + ms(160), began, ExchangeEnd::Answered);
    }
    let then = start + ms(2000);
    assert!(load.cost(then) > 6.0, "{}", load.cost(then));
    assert!(load.cost(then + Duration::from_secs(10)) < 1.2);
}

#[test]
fn failures_that_are_forgotten_leave_a_target_as_it_was_and_its_backoff_in_force() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    load.back_off(start, ms(500), 0.0);
    load.begin(start, TYPICAL_LATENCY);
    load.end(start + ms(250), start, ExchangeEnd::Unreachable);
    load.begin(start + ms(260), TYPICAL_LATENCY);
    load.end(start + ms(600), start + ms(260), ExchangeEnd::Abandoned);
    assert!(load.is_ejected(start + ms(700)) && load.slowness(start + ms(700)) > 2.0);
    load.forget_failures();
    assert!(!load.is_ejected(start + ms(700)) && load.slowness(start + ms(700)) < 1.1);
    assert_eq!(load.backoff_left(start + ms(100)), ms(400));
}

#[test]
fn reported_requests_make_a_target_expensive_but_not_slow() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    load.report(start, 6, TYPICAL_LATENCY);
    assert!(load.cost(start) > 3.0);
    assert!(load.slowness(start) < 1.1);
    assert!(!load.has_free_slot(start));
    assert!(load.has_free_slot(start + Duration::from_secs(2)));
}

#[test]
fn a_target_is_ejected_for_a_time_after_consecutive_failures() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    for _ in 0..3 {
        load.begin(start, TYPICAL_LATENCY);
        load.end(start, start, ExchangeEnd::Failed);
    }
    assert!(load.is_ejected(start + ms(400)));
    assert!(!load.is_ejected(start + ms(600)));
}

/// The limit holds for the extra arrivals in any window of ten seconds, over all hosts.
#[test]
fn all_hosts_together_stay_within_the_retry_budget_in_any_window() {
    const HOSTS: usize = 20;
    const STEP_MS: u64 = 10;
    const QUIET_STEPS: u64 = 2000;
    let limits = RetryLimits { ratio: 0.2, slack: 129.0, window_ms: 10_000 };
    for requests_a_step in [0, 1] {
        let start = Instant::now();
        let mut hosts: Vec<RetryBudget> =
            (0..HOSTS).map(|_| RetryBudget::new(start, limits, HOSTS)).collect();
        let mut extra = Vec::new();
        for step in 0..4000_u64 {
            let now = start + ms(step * STEP_MS);
            let mut spent = 0;
            for (at, host) in hosts.iter_mut().enumerate() {
                if requests_a_step > 0 && step % HOSTS as u64 == at as u64 {
                    host.earn(HOSTS);
                }
                // The quiet time lets the hosts accumulate tokens, which they then spend at once.
                spent += u32::from(step > QUIET_STEPS && host.spend(now, HOSTS));
            }
            extra.push(spent);
        }
        let window = (limits.window_ms / STEP_MS) as usize;
        let most = extra.windows(window).map(|window| window.iter().sum::<u32>()).max().unwrap();
        let requests = (window * requests_a_step) as f64;
        let allowed = limits.ratio * requests + limits.slack;
        assert!(f64::from(most) <= allowed, "{most} extra arrivals, {allowed} allowed");
        assert!(f64::from(most) > allowed * 0.5, "{most} of {allowed}: the budget is hardly used");
    }
}

#[test]
fn indices_are_drawn_in_proportion_to_the_weights() {
    let weights = [2.0, 0.0, 1.0, f64::NAN, -4.0, 1.0];
    let mut counts = [0; 6];
    for step in 0..1000 {
        counts[weighted_draw(weights, f64::from(step) / 1000.0).unwrap()] += 1;
    }
    assert_eq!(counts, [500, 0, 250, 0, 0, 250]);
    assert_eq!(weighted_draw([0.0, 0.0], 0.5), None);
    assert_eq!(weighted_draw([], 0.5), None);
}

#[test]
fn a_shorter_backoff_does_not_shorten_the_current_one() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    load.back_off(start, ms(2000), 0.0);
    load.back_off(start + ms(100), ms(300), 0.0);
    assert_eq!(load.backoff_left(start + ms(500)), ms(1500));
    assert_eq!(load.backoff_left(start + ms(2000)), Duration::ZERO);
}

/// Hosts that a target turned away at the same time must not all return at the same time.
#[test]
fn hosts_return_after_a_backoff_with_jitter_and_slow_start() {
    let start = Instant::now();
    let backed_off = |random: f64| {
        let mut load = TargetLoad::new(2);
        load.back_off(start, ms(2000), random);
        (load.backoff_left(start), load)
    };
    assert_eq!(backed_off(1.0).0 - backed_off(0.0).0, ms(500));
    let load = backed_off(0.0).1;
    let cost = |after_ms: u64| load.cost(start + ms(2000 + after_ms));
    assert!(cost(0) > 3.0 && cost(500) > 2.0 && cost(1000) < 1.1, "{} {} {}", cost(0), cost(500), cost(1000));
}

#[test]
fn an_excessive_backoff_is_capped_at_minutes() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    load.back_off(start, Duration::MAX, 1.0);
    assert!(load.backoff_left(start) < Duration::from_secs(600));
}

/// Requests of a few milliseconds have ended long before those of a quarter of a second.
#[test]
fn a_load_report_decays_with_the_usual_latency() {
    let start = Instant::now();
    for typical in [ms(5), ms(30), ms(220)] {
        let mut load = TargetLoad::new(2);
        load.report(start, 4, typical);
        assert!(!load.has_free_slot(start + typical), "{typical:?}: what was running still runs");
        assert!(load.has_free_slot(start + typical * 6), "{typical:?}: it has ended");
    }
}

/// A target that only fails has no latency samples; it must not look as fast as one that answers.
#[test]
fn a_failing_target_does_not_get_the_slowness_of_the_fastest_one() {
    let start = Instant::now();
    for end in [ExchangeEnd::Failed, ExchangeEnd::Unreachable, ExchangeEnd::Shed] {
        let mut load = TargetLoad::new(2);
        assert!(load.cost_with_prior(start, 0.1) < 0.2);
        load.begin(start, TYPICAL_LATENCY);
        load.end(start, start, end);
        assert!(load.cost_with_prior(start + Duration::from_secs(2), 0.1) > 0.9, "{end:?}");
    }
}

/// Guards against requests that go to a failing target as often as to others until it is ejected. A refusal
/// for lack of room is no failure.
#[test]
fn a_target_that_failed_counts_as_later_for_a_while() {
    let start = Instant::now();
    let mut load = TargetLoad::new(2);
    load.begin(start, TYPICAL_LATENCY);
    load.end(start + ms(5), start, ExchangeEnd::Shed);
    assert!((load.failure_factor(start + ms(5)) - 1.0).abs() < 1e-9);
    load.begin(start + ms(5), TYPICAL_LATENCY);
    load.end(start + ms(10), start + ms(5), ExchangeEnd::Failed);
    assert!(load.failure_factor(start + ms(10)) > 3.0);
    assert!(load.failure_factor(start + Duration::from_secs(20)) < 1.01);
    load.begin(start + ms(20), TYPICAL_LATENCY);
    load.end(start + ms(40), start + ms(20), ExchangeEnd::Answered);
    assert!((load.failure_factor(start + ms(40)) - 1.0).abs() < 1e-9);
}
