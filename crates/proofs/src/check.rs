//! Checks of answers against what the targets hold and ran.

use egret_model::{QueryId, ServiceName, ShardName, SnapshotId};
use egret_standin::{Execution, search, well_records};
use egret_wire::QueryAnswer;

use crate::{Fleet, fleet::body};

/// Returns the keys that a covered shard contributes to a numbered lookup, in order.
#[must_use]
pub fn expected_hits(
    service: &ServiceName,
    shard: &ShardName,
    snapshot: SnapshotId,
    records: u32,
    number: u64,
) -> Vec<String> {
    let records = well_records(service, shard, snapshot, records);
    search(&records, &body(number)).into_iter().map(|hit| hit.key).collect()
}

/// Checks that an answer is the caller's own, whole, and from one snapshot.
///
/// Its hits must be exactly those of the shards that it says it covers, each once.
///
/// # Panics
/// Panics where a promise is broken.
pub fn check_answer(fleet: &Fleet, number: u64, answer: &QueryAnswer) {
    let records = fleet.shape().behaviour.records;
    let mut expected: Vec<String> = answer
        .covered
        .iter()
        .flat_map(|part| part.shards.iter().map(move |shard| (&part.service, shard)))
        .flat_map(|(service, shard)| expected_hits(service, shard, answer.snapshot, records, number))
        .collect();
    expected.sort();
    let mut keys: Vec<String> = answer.hits.iter().map(|hit| hit.key.clone()).collect();
    keys.sort();
    assert_eq!(keys, expected, "the hits of query {} are not those of its covered shards", answer.query);
    let wanted = format!("\"snapshot\":{}", answer.snapshot);
    for hit in &answer.hits {
        assert!(
            hit.record.get().contains(&wanted),
            "hit {} is not from snapshot {}",
            hit.key,
            answer.snapshot
        );
    }
    let covered: usize = answer.covered.iter().map(|part| part.shards.len()).sum();
    let all = covered + answer.missing.len();
    assert!((answer.coverage - covered as f64 / all as f64).abs() < 1e-9, "the stated coverage is not true");
}

/// Returns the executions of one query at all targets.
#[must_use]
pub fn executions_of(fleet: &Fleet, query: QueryId) -> Vec<Execution> {
    fleet.executions().into_iter().filter(|execution| execution.query == query).collect()
}
