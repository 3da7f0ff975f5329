//! The network latency to callers, inferred from the budgets that they send.

use std::time::Duration;

use egret_policy::{AnswerDelivery, CallerBudgets, LeadTimeEstimator};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn budgets_from(budgets: &[u64]) -> CallerBudgets {
    let mut recorded = CallerBudgets::default();
    for _ in 0..5 {
        budgets.iter().for_each(|&budget| recorded.record(ms(budget)));
    }
    recorded
}

#[test]
fn a_caller_on_a_new_connection_has_spent_the_difference_to_the_full_budget() {
    let budgets = budgets_from(&[1200, 600]);
    assert_eq!(budgets.elapsed(ms(1197)), Some(ms(3)));
    assert_eq!(budgets.elapsed(ms(597)), Some(ms(3)));
    assert_eq!(budgets.elapsed(ms(1200)), Some(ms(0)));
    assert_eq!(budgets.elapsed(ms(1201)), None, "no full budget is known");
}

#[test]
fn a_rare_budget_does_not_count_as_a_full_one() {
    let mut budgets = budgets_from(&[1200]);
    budgets.record(ms(900));
    assert_eq!(budgets.elapsed(ms(897)), Some(ms(303)));
    // Budgets out of use are dropped, and many different ones do not displace the one in use.
    for at in 0..5000 {
        budgets.record(ms(if at % 3 == 0 { 2000 + at } else { 800 }));
    }
    assert_eq!((budgets.elapsed(ms(797)), budgets.elapsed(ms(1197))), (Some(ms(3)), None));
}

/// Simulates sites whose callers are 0.5 to 20 ms away, one in ten of which retries.
#[test]
fn answers_are_in_time_and_barely_early_at_any_caller_distance() {
    let mut rng = fastrand::Rng::with_seed(7);
    for one_way_us in [500, 1000, 3000, 8000, 20_000] {
        let one_way = Duration::from_micros(one_way_us);
        let budgets = budgets_from(&[1200]);
        let mut estimator = LeadTimeEstimator::new(500, 25e6);
        for at in 0..200 {
            let retried = if at % 10 == 0 { ms(rng.u64(50..500)) } else { Duration::ZERO };
            let left = ms(1200) - one_way * 2 - retried;
            estimator.record_connection_setup(budgets.elapsed(ms(left.as_millis() as u64)).unwrap());
            estimator.record_send_delay(ms(2));
        }
        let host_delay = LeadTimeEstimator::new(500, 25e6).estimate(AnswerDelivery::default()) - ms(6);
        for (is_on_new, one_ways) in [(false, 2), (true, 4)] {
            let lead_time = estimator
                .estimate(AnswerDelivery { on_new_connection: is_on_new, ..AnswerDelivery::default() });
            assert!(lead_time >= one_way * one_ways, "{one_way:?}: {lead_time:?}");
            assert!(lead_time <= one_way * one_ways + host_delay + ms(3), "{one_way:?}: {lead_time:?}");
        }
    }
}
