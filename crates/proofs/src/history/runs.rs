//! Checks of the requests that targets executed.

use egret_model::{ServiceName, ShardName};
use egret_standin::Execution;

use crate::Violation;

/// Checks that each shard ran each non-idempotent request at most once.
///
/// Requests are told apart by their bodies. Returns the number of pairs of a
/// non-idempotent request and a shard that ran it.
///
/// # Errors
/// Returns the first non-idempotent request that a shard ran more than once.
pub fn verify_at_most_once(executions: &[Execution]) -> Result<usize, Violation> {
    let mut runs: Vec<(&str, &ServiceName, &ShardName)> = executions
        .iter()
        .filter(|run| !run.idempotent)
        .flat_map(|run| run.shards.iter().map(|shard| (run.body.as_str(), &run.service, shard)))
        .collect();
    runs.sort_unstable();
    for same in runs.chunk_by(|a, b| a == b) {
        let (body, service, shard) = same[0];
        if same.len() > 1 {
            let (body, service, shard) = (body.to_owned(), service.clone(), shard.clone());
            return Err(Violation::RanTwice { body, service, shard, count: same.len() });
        }
    }
    Ok(runs.len())
}

/// Checks that no target executed a request that was refused as not run each time it was sent.
///
/// `marks` are texts that occur in the bodies of those requests and in no others.
///
/// # Errors
/// Returns the first such request that a target executed.
pub fn verify_not_run(executions: &[Execution], marks: &[String]) -> Result<(), Violation> {
    let was_refused = |run: &&Execution| marks.iter().any(|mark| run.body.contains(mark.as_str()));
    match executions.iter().find(was_refused) {
        Some(run) => {
            Err(Violation::RanDespiteRefusal { body: run.body.clone(), service: run.service.clone() })
        }
        None => Ok(()),
    }
}
