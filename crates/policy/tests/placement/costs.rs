//! Costs of requests, backlogs of targets, and refusals.

use std::time::{Duration, Instant};

use egret_policy::{
    CostLevel, LoadReport, PlacementRequest, PlacementTarget, PooledLoad, RequestCosts, RequestShape,
    ReturnSchedule, TargetBacklog, refusal,
};

const TYPICAL: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn shape(path: &str) -> RequestShape<'_> {
    RequestShape { route: "files", body_bytes: 300, path }
}

fn report(pending: u32) -> LoadReport {
    LoadReport { pending, ..LoadReport::default() }
}

/// Guards against paths that are seen once: they have to share what is known of their shape.
#[test]
fn a_new_path_is_expected_to_cost_what_its_shape_costs() {
    let now = Instant::now();
    let mut costs = RequestCosts::default();
    for id in 0..40 {
        costs.record(now, shape(&format!("/export/{id}?day=1")), ms(400), 1.0);
        costs.record(now, shape(&format!("/view/{id}")), ms(40), 1.0);
    }
    assert!(costs.expected(now, shape("/export/x9?day=7"), TYPICAL) > ms(300));
    assert!(costs.expected(now, shape("/view/x9"), TYPICAL) < ms(80));
    let mean = costs.mean(now, "files", TYPICAL);
    assert!(mean > ms(180) && mean < ms(240), "{mean:?}");
}

/// Guards against a level that is named although the estimate rests on a coarser one.
#[test]
fn the_level_is_the_narrowest_with_enough_samples() {
    let now = Instant::now();
    let mut costs = RequestCosts::default();
    assert_eq!(costs.level(now, shape("/export/1")), CostLevel::TypicalLatency);
    for id in 0..40 {
        costs.record(now, shape(&format!("/export/{id}")), ms(400), 1.0);
    }
    assert_eq!(costs.level(now, shape("/export/x9")), CostLevel::PathShape);
    assert_eq!(costs.level(now, shape("/view/x9")), CostLevel::BodySize);
    assert_eq!(costs.level(now, RequestShape { body_bytes: 5000, ..shape("/export/1") }), CostLevel::Route);
    (0..40).for_each(|_| costs.record(now, shape("/export/1"), ms(400), 1.0));
    assert_eq!(costs.level(now, shape("/export/1")), CostLevel::Path);
}

/// Guards against a cost that stays for ever after the requests have changed.
#[test]
fn costs_follow_a_change_and_decay_to_the_typical_latency() {
    let now = Instant::now();
    let mut costs = RequestCosts::default();
    (0..500).for_each(|_| costs.record(now, shape("/export/1"), ms(400), 1.0));
    (0..130).for_each(|_| costs.record(now, shape("/export/1"), ms(50), 1.0));
    assert!(costs.expected(now, shape("/export/1"), TYPICAL) < ms(110));
    let later = now + Duration::from_secs(1200);
    let decayed = costs.expected(later, shape("/export/1"), TYPICAL);
    assert!(decayed > ms(95) && decayed < ms(105), "{decayed:?}");
}

/// Guards against a table in which a flood of paths replaces what is known of the routes.
#[test]
fn a_flood_of_paths_leaves_the_costs_of_other_routes() {
    let now = Instant::now();
    let mut costs = RequestCosts::default();
    (0..60).for_each(|_| costs.record(now, shape("/export/1"), ms(400), 1.0));
    for id in 0..50_000 {
        let path = format!("/{id}");
        let flood = RequestShape { route: "other", body_bytes: 0, path: &path };
        costs.record(now, flood, ms(10), 1.0);
    }
    assert!(costs.expected(now, shape("/export/1"), TYPICAL) > ms(380));
}

/// Guards against a request count in place of time: one long request outweighs two short ones.
#[test]
fn a_backlog_is_measured_in_time() {
    let now = Instant::now();
    let (mut long, mut short) = (TargetBacklog::new(1), TargetBacklog::new(1));
    long.begin(now, ms(500), ms(0));
    short.begin(now, ms(50), ms(0));
    short.begin(now, ms(50), ms(50));
    let wait = |backlog: &TargetBacklog, at| backlog.expected_wait(at, TYPICAL, PooledLoad::default());
    assert!(wait(&long, now) > wait(&short, now) + ms(300));
    // It has run for most of its time.
    assert!(wait(&long, now + ms(400)) < ms(150), "{:?}", wait(&long, now + ms(400)));
    long.end(now);
    assert_eq!(wait(&long, now), ms(0));
}

/// Guards against a host that knows its own requests only, and against reports that outlive their load.
#[test]
fn reports_count_the_requests_of_other_hosts_until_they_age() {
    let now = Instant::now();
    let mut target = TargetBacklog::new(2);
    target.begin(now, TYPICAL, ms(0));
    target.report(now, report(6));
    target.end(now);
    let empty = PooledLoad::default();
    assert!(target.expected_wait(now, TYPICAL, empty) > ms(200));
    assert!(!target.has_free_slot(now, TYPICAL, empty));
    assert!(target.expected_wait(now + ms(2000), TYPICAL, empty) < ms(100));
    assert!(target.has_free_slot(now + ms(10_000), TYPICAL, empty));
    // A target without a recent report is as busy as the others.
    let mut pool = PooledLoad::default();
    (0..4).for_each(|_| pool.add(now, &target));
    assert!(pool.is_known() && !PooledLoad::default().is_known());
    assert!(TargetBacklog::new(2).expected_wait(now, TYPICAL, pool) > ms(150));
}

/// Guards against a choice of targets that said they are slow.
#[test]
fn a_reported_slowness_counts_before_it_is_measured() {
    let now = Instant::now();
    let mut target = TargetBacklog::new(2);
    assert!((target.slowness(now, 1.3) - 1.0).abs() < 1e-9);
    target.report(now, LoadReport { slowness: Some(2.5), ..report(1) });
    assert!(target.slowness(now, 1.0) > 2.4);
    assert!(target.slowness(now + Duration::from_secs(20), 1.0) < 1.1);
}

fn asked() -> PlacementRequest {
    PlacementRequest {
        is_cost_known: true,
        mean_cost: ms(160),
        objective: ms(600),
        until_objective: ms(580),
        until_deadline: ms(9980),
    }
}

fn target(wait: u64, completion: u64) -> PlacementTarget {
    PlacementTarget {
        wait: ms(wait),
        completion: ms(completion),
        has_free_slot: wait == 0,
        full_left: Duration::ZERO,
    }
}

#[test]
fn requests_in_time_are_sent_and_others_only_where_nobody_waits_for_them() {
    assert_eq!(refusal(asked(), target(400, 560)), None);
    assert_eq!(refusal(asked(), target(620, 780)), Some(ms(400)));
    // A long request is late in any case; it is sent while the wait is short.
    assert_eq!(refusal(asked(), target(100, 1100)), None);
    let late = PlacementRequest { until_objective: Duration::ZERO, ..asked() };
    assert_eq!(refusal(late, target(100, 260)), None);
    assert_eq!(refusal(late, target(320, 480)), Some(ms(100)));
    assert_eq!(refusal(late, target(0, 160)), None);
}

#[test]
fn requests_are_refused_where_no_target_has_room_or_the_caller_has_gone() {
    let full = PlacementTarget { full_left: ms(80), ..target(300, 460) };
    assert_eq!(refusal(asked(), full), Some(ms(80)));
    let short = PlacementRequest { until_objective: ms(50), until_deadline: ms(100), ..asked() };
    assert!(refusal(short, target(0, 160)).is_some());
    // Nothing could correct the estimate if requests were refused by it before the first answer.
    let unknown = PlacementRequest { is_cost_known: false, ..short };
    assert_eq!(refusal(unknown, target(0, 160)), None);
    let slow = PlacementTarget { completion: ms(20_000), ..target(0, 160) };
    assert_eq!(refusal(asked(), slow), None);
}

/// Guards against callers that are refused together, return together and are refused again.
#[test]
fn refused_callers_return_at_the_rate_at_which_requests_are_served() {
    let start = Instant::now();
    let mut schedule = ReturnSchedule::default();
    // Ten requests per second are served; after five seconds, as many are refused for four seconds, at first
    // ten of them at once.
    let mut returns = Vec::new();
    for step in 0..90 {
        let now = start + ms(step * 100);
        schedule.record_served(now);
        let refused = match step {
            0..50 => 0,
            50 => 10,
            _ => 1,
        };
        (0..refused).for_each(|_| returns.push(now + schedule.reserve(now, ms(50), ms(3000))));
    }
    for from in (5000..9000).step_by(500) {
        let returning = |at: &&Instant| (start + ms(from)..start + ms(from + 500)).contains(*at);
        let count = returns.iter().filter(returning).count();
        assert!((3..=8).contains(&count), "{count} callers return within 500 ms after {from} ms");
    }
    // The time is bounded, whatever the demand.
    let now = start + ms(9000);
    assert!((0..1000).all(|_| schedule.reserve(now, ms(50), ms(3000)) <= ms(3000)));
    // After the overload, callers are told the earliest time again.
    let later = start + Duration::from_secs(30);
    assert_eq!(schedule.reserve(later, ms(50), ms(3000)), ms(50));
}
