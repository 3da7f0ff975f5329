//! Callers at different distances, of whom a host sees only what they state.

use std::time::Duration;

use egret_policy::{AnswerWay, ReturnPath, StatedBudgets};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stated_by(budgets: &[u64]) -> StatedBudgets {
    let mut stated = StatedBudgets::default();
    for _ in 0..5 {
        budgets.iter().for_each(|&budget| stated.add(ms(budget)));
    }
    stated
}

#[test]
fn a_caller_on_a_new_connection_has_spent_the_difference() {
    let stated = stated_by(&[1200, 600]);
    assert_eq!(stated.spent(ms(1197)), Some(ms(3)));
    assert_eq!(stated.spent(ms(597)), Some(ms(3)));
    assert_eq!(stated.spent(ms(1200)), Some(ms(0)));
    assert_eq!(stated.spent(ms(1201)), None, "no whole budget is known");
}

#[test]
fn what_is_rarely_stated_is_no_whole_budget() {
    let mut stated = stated_by(&[1200]);
    stated.add(ms(900));
    assert_eq!(stated.spent(ms(897)), Some(ms(303)));
    // Budgets that nobody states any more are forgotten, and many different ones take no room.
    for at in 0..5000 {
        stated.add(ms(if at % 3 == 0 { 2000 + at } else { 800 }));
    }
    assert_eq!((stated.spent(ms(797)), stated.spent(ms(1197))), (Some(ms(3)), None));
}

/// Sites whose callers are 0.5 to 20 ms away, with one in ten that sends again.
#[test]
fn answers_are_in_time_and_hardly_early_wherever_callers_are() {
    let mut rng = fastrand::Rng::with_seed(7);
    for way_us in [500, 1000, 3000, 8000, 20_000] {
        let way = Duration::from_micros(way_us);
        let stated = stated_by(&[1200]);
        let mut path = ReturnPath::new(500, 25e6);
        for at in 0..200 {
            let retried = if at % 10 == 0 { ms(rng.u64(50..500)) } else { Duration::ZERO };
            let left = ms(1200) - way * 2 - retried;
            path.opened(stated.spent(ms(left.as_millis() as u64)).unwrap());
            path.add(ms(2));
        }
        let lag = ReturnPath::new(500, 25e6).margin(AnswerWay::default()) - ms(6);
        for (is_on_new, ways) in [(false, 2), (true, 4)] {
            let margin = path.margin(AnswerWay { is_on_new, ..AnswerWay::default() });
            assert!(margin >= way * ways, "{way:?}: {margin:?}");
            assert!(margin <= way * ways + lag + ms(3), "{way:?}: {margin:?}");
        }
    }
}
