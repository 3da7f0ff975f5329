//! The whole path through real processes.

use egret_proofs::{Fleet, Shape, check_answer, executions_of};

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_covers_all_shards_with_one_attempt_each() {
    let fleet = Fleet::start(Shape::default()).await;
    for number in 0..20 {
        let answer = fleet.client().query_once(&fleet.lookup(number)).await.unwrap();
        check_answer(&fleet, number, &answer);
        assert!(answer.missing.is_empty());
        assert_eq!(answer.needed, 3);
        assert_eq!(executions_of(&fleet, answer.query).len() as u32, answer.attempts);
    }
}
