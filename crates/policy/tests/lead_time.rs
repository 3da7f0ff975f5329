//! Answers that have to be with their callers by the goal, over hosts of all sizes.

use std::time::Duration;

use egret_policy::{AnswerDelivery, LeadTimeEstimator};

/// The farthest callers, one way.
const WAY: Duration = Duration::from_millis(3);
/// The link of a small host: 22 Mbit/s.
const LINK: f64 = 22e6 / 8.0;

/// What a host needs to pass an answer on: its share of a core decides, and who else is at work.
fn pass_on(rng: &mut fastrand::Rng, millicores: u32) -> Duration {
    let busy = 1.0 + rng.f64() + 3.0 * rng.f64().powi(8);
    Duration::from_secs_f64(0.25e-3 * busy * 1000.0 / f64::from(millicores))
}

/// Plays answers that are made at their moment; returns the share in time and the mean time left.
fn play(millicores: u32, is_on_new: bool) -> (f64, Duration) {
    let mut rng = fastrand::Rng::with_seed(u64::from(millicores));
    let mut path = LeadTimeEstimator::new(millicores, LINK);
    let way = AnswerDelivery { on_new_connection: is_on_new, bytes: 8_200, ..AnswerDelivery::default() };
    let transfer = Duration::from_secs_f64(8_200.0 / LINK);
    let ways = WAY * if is_on_new { 4 } else { 2 };
    let (mut in_time, mut left) = (0, Duration::ZERO);
    const ANSWERS: u32 = 1000;
    for _ in 0..ANSWERS {
        let margin = path.estimate(way);
        let took = pass_on(&mut rng, millicores);
        path.record_send_delay(took);
        let needed = took + ways + transfer;
        in_time += u32::from(needed <= margin);
        left += margin.saturating_sub(needed);
    }
    (f64::from(in_time) / f64::from(ANSWERS), left / ANSWERS)
}

#[test]
fn answers_of_hosts_of_all_sizes_are_in_time_and_hardly_early() {
    for millicores in [84, 120, 500] {
        for is_on_new in [true, false] {
            let (in_time, left) = play(millicores, is_on_new);
            assert!(in_time > 0.95, "{millicores} {is_on_new}: {in_time}");
            assert!(left < Duration::from_millis(10), "{millicores} {is_on_new}: {left:?}");
        }
    }
}

#[test]
fn a_new_host_goes_by_its_share_of_a_core() {
    let margin = |millicores| LeadTimeEstimator::new(millicores, LINK).estimate(AnswerDelivery::default());
    assert!(margin(84) > margin(120) && margin(120) > margin(500) + Duration::from_millis(3));
    assert!(margin(1) < Duration::from_millis(20), "bounded");
}

#[test]
fn one_answer_that_waited_long_changes_little() {
    let mut path = LeadTimeEstimator::new(120, LINK);
    let before = path.estimate(AnswerDelivery::default());
    for at in 0..60 {
        path.record_send_delay(Duration::from_millis(if at == 30 { 5000 } else { 6 }));
    }
    assert!(path.estimate(AnswerDelivery::default()) < before + Duration::from_millis(5));
}
