//! Service times of the stand-in target, on a paused clock.

use std::time::Duration;

use egret_standin::{Behaviour, Target};
use egret_wire::SEARCH_PATH;
use tokio::time::{Instant, advance};

const SEARCH_REQUEST: &str = r#"{"query": "1", "origin": "1", "attempt": 1, "service": "desk", "snapshot": 1,
    "placement": 1, "shards": ["s0"], "class": "lookup", "budget_ms": 1000, "idempotent": true, "body": {}}"#;

async fn search_duration(service_us: u64) -> Duration {
    let behaviour = Behaviour { service_us, ..Behaviour::default() };
    let target = Target::without_network("127.0.0.1:1".parse().unwrap(), behaviour);
    // Most requests arrive between two ticks of the timer, so this one does.
    advance(Duration::from_micros(300)).await;
    let started = Instant::now();
    let (status, body) = target.answer(SEARCH_PATH, SEARCH_REQUEST.as_bytes()).await.unwrap();
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    started.elapsed()
}

/// Timers tick once a millisecond. A wait for a tick would hide the latency that a benchmark
/// of an idle path measures.
#[tokio::test(start_paused = true)]
async fn a_search_without_service_time_sets_no_timer() {
    assert_eq!(search_duration(0).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_search_takes_from_half_to_one_and_a_half_times_the_mean_service_time() {
    for _ in 0..20 {
        let elapsed = search_duration(20_000).await;
        assert!((10..=31).contains(&elapsed.as_millis()), "{elapsed:?}");
    }
}
