//! Placement of single requests: costs, backlogs, and a simulation that compares policies.

mod costs;
mod simulation;

use simulation::{Outcome, Policy, Setting, run};

/// The targets for single requests of the larger deployment of docs/design/contended-load.md.
const TEN_TARGETS: Setting = Setting {
    hosts: 35,
    targets: 10,
    slots: 2,
    queue: 8,
    mean_ms: 160.0,
    objective_ms: 600,
    deadline_ms: 10_000,
    load: 0.8,
    slow_targets: 0,
    requests: 10_000,
};

/// The targets for single requests of the deployment with the most hosts.
const THREE_TARGETS: Setting = Setting {
    hosts: 146,
    targets: 3,
    slots: 3,
    queue: 12,
    mean_ms: 60.0,
    objective_ms: 500,
    deadline_ms: 1_500,
    load: 0.8,
    slow_targets: 0,
    requests: 10_000,
};

const SEED: u64 = 7;

/// Prints a row of the table in docs/design/cost-aware-placement.md.
fn measure(setting: Setting, policy: Policy) -> Outcome {
    let outcome = run(setting, policy, SEED);
    let Outcome { in_time, late, refused, cheap_in_time, mean_ms, p99_ms, shed } = outcome;
    println!(
        "{} targets, {} slow, load {}, {policy:?}: in time {in_time:.3}, late {late:.3}, refused {refused:.3}, \
         cheap in time {cheap_in_time:.3}, mean {mean_ms:.0} ms, p99 {p99_ms:.0} ms, shed {shed:.3}",
        setting.targets, setting.slow_targets, setting.load
    );
    outcome
}

/// Guards against a choice by the number of requests: a target with two long requests would look as busy
/// as one with two short ones.
#[test]
fn earliest_completion_serves_more_in_time_than_the_other_policies() {
    for load in [0.6, 0.8, 0.95] {
        let setting = Setting { load, ..TEN_TARGETS };
        let earliest = measure(setting, Policy::EarliestCompletion);
        for other in [Policy::TwoChoices, Policy::LeastRequests] {
            let other = measure(setting, other);
            assert!(earliest.in_time > other.in_time + 0.01, "{earliest:?} {other:?}");
        }
    }
}

/// Guards against slow targets that look as good as others, as their requests are as many.
#[test]
fn slow_targets_get_less_work() {
    let setting = Setting { load: 0.6, slow_targets: 2, ..TEN_TARGETS };
    let earliest = measure(setting, Policy::EarliestCompletion);
    measure(setting, Policy::EarliestCompletionWithRefusals);
    for other in [Policy::TwoChoices, Policy::LeastRequests] {
        assert!(earliest.in_time > measure(setting, other).in_time + 0.01, "{earliest:?}");
    }
}

/// Guards against queues that grow until every answer is late: goodput has to stay near its best.
#[test]
fn refusals_keep_goodput_under_overload() {
    for setting in [TEN_TARGETS, THREE_TARGETS] {
        let policy = Policy::EarliestCompletionWithRefusals;
        let goodput = |load: f64| load * measure(Setting { load, ..setting }, policy).in_time;
        let best = goodput(0.95);
        for load in [1.2, 2.0, 8.0] {
            assert!(goodput(load) >= 0.9 * best, "{load}");
        }
    }
    let setting = Setting { load: 2.0, ..TEN_TARGETS };
    let without = measure(setting, Policy::EarliestCompletion);
    let with = measure(setting, Policy::EarliestCompletionWithRefusals);
    assert!(with.in_time > 2.0 * without.in_time, "{with:?} {without:?}");
}

/// Guards against refusals while targets have room.
#[test]
fn little_is_refused_below_the_capacity() {
    for (load, refused_max) in [(0.3, 0.001), (0.6, 0.02)] {
        for setting in [TEN_TARGETS, THREE_TARGETS] {
            let outcome = measure(Setting { load, ..setting }, Policy::EarliestCompletionWithRefusals);
            let without = measure(Setting { load, ..setting }, Policy::LeastRequests);
            assert!(outcome.refused <= refused_max, "{outcome:?}");
            assert!(outcome.in_time > without.in_time - 0.005, "{outcome:?} {without:?}");
        }
    }
}
