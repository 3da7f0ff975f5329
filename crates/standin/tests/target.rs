//! The stand-in target on a paused clock.

use std::time::Duration;

use egret_standin::{Behaviour, Target};
use egret_wire::SEARCH_PATH;
use tokio::time::{Instant, advance};

const SEARCH: &str = r#"{"query": "1", "origin": "1", "attempt": 1, "service": "desk", "snapshot": 1,
    "placement": 1, "shards": ["s0"], "class": "lookup", "budget_ms": 1000, "idempotent": true, "body": {}}"#;

async fn time_of_a_search(service_us: u64) -> Duration {
    let behaviour = Behaviour { service_us, ..Behaviour::default() };
    let target = Target::without_network("127.0.0.1:1".parse().unwrap(), behaviour);
    // Between two steps of the timer, as most requests arrive.
    advance(Duration::from_micros(300)).await;
    let started = Instant::now();
    let (status, body) = target.answer(SEARCH_PATH, SEARCH.as_bytes()).await.unwrap();
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    started.elapsed()
}

/// A timer has steps of a millisecond, which would hide what a bench of an idle path measures.
#[tokio::test(start_paused = true)]
async fn a_search_without_service_time_waits_for_no_timer() {
    assert_eq!(time_of_a_search(0).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_search_takes_between_half_and_one_and_a_half_of_its_mean_time() {
    for _ in 0..20 {
        let took = time_of_a_search(20_000).await;
        assert!((10..=31).contains(&took.as_millis()), "{took:?}");
    }
}
