//! The lead time with which answers reach their callers by the latency objective, on hosts of all sizes.

use std::time::Duration;

use egret_policy::{AnswerDelivery, LeadTimeEstimator};

/// The one-way latency to the farthest callers.
const ONE_WAY: Duration = Duration::from_millis(3);
/// The link of a small host in bytes per second: 22 Mbit/s.
const LINK: f64 = 22e6 / 8.0;

/// Draws the time that a host takes to send an answer; it depends on its share of a core and on other
/// work there.
fn send_delay(rng: &mut fastrand::Rng, millicores: u32) -> Duration {
    let busy = 1.0 + rng.f64() + 3.0 * rng.f64().powi(8);
    Duration::from_secs_f64(0.25e-3 * busy * 1000.0 / f64::from(millicores))
}

/// Simulates answers that are made at their due time; returns the share in time and the mean time left.
fn simulate(millicores: u32, is_on_new: bool) -> (f64, Duration) {
    let mut rng = fastrand::Rng::with_seed(u64::from(millicores));
    let mut estimator = LeadTimeEstimator::new(millicores, LINK);
    let delivery = AnswerDelivery { on_new_connection: is_on_new, bytes: 8_200, ..AnswerDelivery::default() };
    let transfer = Duration::from_secs_f64(8_200.0 / LINK);
    let network = ONE_WAY * if is_on_new { 4 } else { 2 };
    let (mut in_time, mut left) = (0, Duration::ZERO);
    const ANSWERS: u32 = 1000;
    for _ in 0..ANSWERS {
        let lead_time = estimator.estimate(delivery);
        let took = send_delay(&mut rng, millicores);
        estimator.record_send_delay(took);
        let needed = took + network + transfer;
        in_time += u32::from(needed <= lead_time);
        left += lead_time.saturating_sub(needed);
    }
    (f64::from(in_time) / f64::from(ANSWERS), left / ANSWERS)
}

#[test]
fn answers_of_hosts_of_all_sizes_are_in_time_and_less_than_10_ms_early() {
    for millicores in [84, 120, 500] {
        for is_on_new in [true, false] {
            let (in_time, left) = simulate(millicores, is_on_new);
            assert!(in_time > 0.95, "{millicores} {is_on_new}: {in_time}");
            assert!(left < Duration::from_millis(10), "{millicores} {is_on_new}: {left:?}");
        }
    }
}

#[test]
fn without_samples_the_lead_time_follows_the_share_of_a_core() {
    let lead_time = |millicores| LeadTimeEstimator::new(millicores, LINK).estimate(AnswerDelivery::default());
    assert!(lead_time(84) > lead_time(120) && lead_time(120) > lead_time(500) + Duration::from_millis(3));
    assert!(lead_time(1) < Duration::from_millis(20), "bounded");
}

#[test]
fn one_slow_answer_barely_changes_the_lead_time() {
    let mut estimator = LeadTimeEstimator::new(120, LINK);
    let before = estimator.estimate(AnswerDelivery::default());
    for at in 0..60 {
        estimator.record_send_delay(Duration::from_millis(if at == 30 { 5000 } else { 6 }));
    }
    assert!(estimator.estimate(AnswerDelivery::default()) < before + Duration::from_millis(5));
}
