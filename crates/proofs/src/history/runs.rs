//! Checks of what targets executed.

use egret_model::{ServiceName, ShardName};
use egret_standin::Execution;

use crate::Violation;

/// Returns the marked requests and shards that ran, each once.
///
/// # Errors
/// Finds a non-idempotent request that a shard ran more than once.
pub fn verify_at_most_once(executions: &[Execution]) -> Result<usize, Violation> {
    let mut runs: Vec<(&str, &ServiceName, &ShardName)> = executions
        .iter()
        .filter(|run| !run.idempotent)
        .flat_map(|run| run.shards.iter().map(|shard| (run.body.as_str(), &run.service, shard)))
        .collect();
    runs.sort_unstable();
    for equal in runs.chunk_by(|a, b| a == b) {
        let (body, service, shard) = equal[0];
        if equal.len() > 1 {
            let (body, service, shard) = (body.to_owned(), service.clone(), shard.clone());
            return Err(Violation::RanTwice { body, service, shard, count: equal.len() });
        }
    }
    Ok(runs.len())
}

/// Checks that no request ran whose every refusal said that it did not.
///
/// `marks` are texts that stand in the bodies of those requests and in no other.
///
/// # Errors
/// Finds a request that ran.
pub fn verify_not_run(executions: &[Execution], marks: &[String]) -> Result<(), Violation> {
    let denied = |run: &&Execution| marks.iter().any(|mark| run.body.contains(mark.as_str()));
    match executions.iter().find(denied) {
        Some(run) => {
            Err(Violation::RanDespiteRefusal { body: run.body.clone(), service: run.service.clone() })
        }
        None => Ok(()),
    }
}
