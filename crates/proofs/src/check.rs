//! Assertions on the answers and executions of a [`Fleet`].

use egret_model::QueryId;
use egret_standin::Execution;
use egret_wire::QueryAnswer;

use crate::{Fleet, verify_answer, verify_at_most_once};

/// Asserts what [`verify_answer`] checks: the answer is complete, from one snapshot and the caller's own.
///
/// # Panics
/// Panics if the answer breaks a promise.
pub fn assert_valid_answer(fleet: &Fleet, number: u64, answer: &QueryAnswer) {
    if let Err(violation) = verify_answer(fleet.spec().behaviour.records, number, answer) {
        panic!("{violation}");
    }
}

/// Asserts that no shard ran a non-idempotent request twice; returns what [`verify_at_most_once`] does.
///
/// # Panics
/// Panics if a shard ran one more than once.
pub fn assert_at_most_once(fleet: &Fleet) -> usize {
    verify_at_most_once(&fleet.executions()).unwrap_or_else(|violation| panic!("{violation}"))
}

/// Returns the executions of one query, at all targets.
#[must_use]
pub fn executions_of_query(fleet: &Fleet, query: QueryId) -> Vec<Execution> {
    fleet.executions().into_iter().filter(|execution| execution.query == query).collect()
}
