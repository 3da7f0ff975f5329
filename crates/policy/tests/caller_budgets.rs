//! Callers at different distances, of whom a host sees only what they state.

use std::time::Duration;

use egret_policy::{AnswerDelivery, CallerBudgets, LeadTimeEstimator};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stated_by(budgets: &[u64]) -> CallerBudgets {
    let mut stated = CallerBudgets::default();
    for _ in 0..5 {
        budgets.iter().for_each(|&budget| stated.record(ms(budget)));
    }
    stated
}

#[test]
fn a_caller_on_a_new_connection_has_spent_the_difference() {
    let stated = stated_by(&[1200, 600]);
    assert_eq!(stated.elapsed(ms(1197)), Some(ms(3)));
    assert_eq!(stated.elapsed(ms(597)), Some(ms(3)));
    assert_eq!(stated.elapsed(ms(1200)), Some(ms(0)));
    assert_eq!(stated.elapsed(ms(1201)), None, "no whole budget is known");
}

#[test]
fn what_is_rarely_stated_is_no_whole_budget() {
    let mut stated = stated_by(&[1200]);
    stated.record(ms(900));
    assert_eq!(stated.elapsed(ms(897)), Some(ms(303)));
    // Budgets that nobody states any more are forgotten, and many different ones take no room.
    for at in 0..5000 {
        stated.record(ms(if at % 3 == 0 { 2000 + at } else { 800 }));
    }
    assert_eq!((stated.elapsed(ms(797)), stated.elapsed(ms(1197))), (Some(ms(3)), None));
}

/// Sites whose callers are 0.5 to 20 ms away, with one in ten that sends again.
#[test]
fn answers_are_in_time_and_hardly_early_wherever_callers_are() {
    let mut rng = fastrand::Rng::with_seed(7);
    for way_us in [500, 1000, 3000, 8000, 20_000] {
        let way = Duration::from_micros(way_us);
        let stated = stated_by(&[1200]);
        let mut path = LeadTimeEstimator::new(500, 25e6);
        for at in 0..200 {
            let retried = if at % 10 == 0 { ms(rng.u64(50..500)) } else { Duration::ZERO };
            let left = ms(1200) - way * 2 - retried;
            path.record_connection_setup(stated.elapsed(ms(left.as_millis() as u64)).unwrap());
            path.record_send_delay(ms(2));
        }
        let lag = LeadTimeEstimator::new(500, 25e6).estimate(AnswerDelivery::default()) - ms(6);
        for (is_on_new, ways) in [(false, 2), (true, 4)] {
            let margin =
                path.estimate(AnswerDelivery { on_new_connection: is_on_new, ..AnswerDelivery::default() });
            assert!(margin >= way * ways, "{way:?}: {margin:?}");
            assert!(margin <= way * ways + lag + ms(3), "{way:?}: {margin:?}");
        }
    }
}
