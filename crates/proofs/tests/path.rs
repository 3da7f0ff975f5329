//! A query's path from the caller over entry and relay to the targets, through real processes.

use egret_proofs::{Fleet, FleetSpec, assert_valid_answer, executions_of_query};

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_covers_all_shards_with_one_attempt_each() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    for number in 0..20 {
        let answer = fleet.client().query_once(&fleet.lookup(number)).await.unwrap();
        assert_valid_answer(&fleet, number, &answer);
        assert!(answer.missing.is_empty());
        assert_eq!(answer.needed, 3);
        assert_eq!(executions_of_query(&fleet, answer.query).len() as u32, answer.attempts);
    }
}
