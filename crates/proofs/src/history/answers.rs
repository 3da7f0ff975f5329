//! Checks of what callers received.

use egret_model::{ServiceName, ShardName, SnapshotId};
use egret_standin::{search, well_records};
use egret_wire::{QueryAnswer, ShownHit};

use crate::{Violation, fleet::lookup_body};

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
    search(&records, &lookup_body(number)).into_iter().map(|hit| hit.key).collect()
}

/// Checks that the answer to a numbered lookup is the caller's own, whole, and from one snapshot.
///
/// Its hits must be exactly those of the shards that it says it covers, each once and
/// in order. `records` is the number of records that each shard holds.
///
/// # Errors
/// Finds the first promise that the answer breaks.
pub fn verify_answer(records: u32, number: u64, answer: &QueryAnswer) -> Result<(), Violation> {
    let query = answer.query;
    let mut held: Vec<String> = answer
        .covered
        .iter()
        .flat_map(|part| part.shards.iter().map(move |shard| (&part.service, shard)))
        .flat_map(|(service, shard)| expected_hits(service, shard, answer.snapshot, records, number))
        .collect();
    held.sort();
    let mut found: Vec<String> = answer.hits.iter().map(|hit| hit.key.clone()).collect();
    found.sort();
    if found != held {
        return Err(Violation::WrongHits { query, found: found.len(), held: held.len() });
    }
    let stated = format!("\"snapshot\":{}", answer.snapshot);
    if let Some(hit) = answer.hits.iter().find(|hit| !hit.record.get().contains(&stated)) {
        let (key, snapshot) = (hit.key.clone(), answer.snapshot);
        return Err(Violation::MixedSnapshots { query, key, snapshot });
    }
    if !answer.hits.is_sorted_by(is_in_order) {
        return Err(Violation::WrongOrder { query });
    }
    let covered: usize = answer.covered.iter().map(|part| part.shards.len()).sum();
    let all = covered + answer.missing.len();
    let is_true = (answer.coverage - covered as f64 / all as f64).abs() < 1e-9;
    if is_true { Ok(()) } else { Err(Violation::WrongCoverage { query }) }
}

/// Tells whether two hits stand by score from high to low, then by key.
fn is_in_order(a: &ShownHit, b: &ShownHit) -> bool {
    a.score > b.score || (a.score == b.score && a.key <= b.key)
}
