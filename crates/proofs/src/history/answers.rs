//! Checks of the answers that callers received.

use egret_model::{ServiceName, ShardName, SnapshotId};
use egret_standin::{search, well_records};
use egret_wire::{AnswerHit, QueryAnswer};

use crate::{Violation, fleet::lookup_body};

/// Returns the keys of the hits that a covered shard must contribute to a numbered lookup, in order.
///
/// They are computed from the same generated records that the stand-in targets hold.
#[must_use]
pub fn expected_hits(
    service: &ServiceName,
    shard: &ShardName,
    snapshot: SnapshotId,
    records: u32,
    number: u64,
) -> Vec<String> {
    let records = well_records(service, shard, snapshot, records);
    search(&records, &lookup_body(number)).into_iter().map(|hit| hit.key).collect()
}

/// Checks that an answer belongs to the caller's query, is complete, and comes from one snapshot.
///
/// Its hits must be exactly those of the shards that it lists as covered, each once and
/// in order, and its stated coverage must match its lists of covered and missing shards.
/// `number` is the number of the lookup, `records` the number of records in each shard.
///
/// # Errors
/// Returns the first promise that the answer breaks.
pub fn verify_answer(records: u32, number: u64, answer: &QueryAnswer) -> Result<(), Violation> {
    let query = answer.query;
    let mut expected: Vec<String> = answer
        .covered
        .iter()
        .flat_map(|part| part.shards.iter().map(move |shard| (&part.service, shard)))
        .flat_map(|(service, shard)| expected_hits(service, shard, answer.snapshot, records, number))
        .collect();
    expected.sort();
    let mut found: Vec<String> = answer.hits.iter().map(|hit| hit.key.clone()).collect();
    found.sort();
    if found != expected {
        return Err(Violation::WrongHits { query, found: found.len(), expected: expected.len() });
    }
    let snapshot_field = format!("\"snapshot\":{}", answer.snapshot);
    if let Some(hit) = answer.hits.iter().find(|hit| !hit.record.get().contains(&snapshot_field)) {
        let (key, snapshot) = (hit.key.clone(), answer.snapshot);
        return Err(Violation::MixedSnapshots { query, key, snapshot });
    }
    if !answer.hits.is_sorted_by(is_ordered) {
        return Err(Violation::WrongOrder { query });
    }
    let covered: usize = answer.covered.iter().map(|part| part.shards.len()).sum();
    let total = covered + answer.missing.len();
    let is_consistent = (answer.coverage - covered as f64 / total as f64).abs() < 1e-9;
    if is_consistent { Ok(()) } else { Err(Violation::WrongCoverage { query }) }
}

/// Returns whether `a` may come before `b`: hits are sorted by descending score, then by key.
fn is_ordered(a: &AnswerHit, b: &AnswerHit) -> bool {
    a.score > b.score || (a.score == b.score && a.key <= b.key)
}
