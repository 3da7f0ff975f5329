//! Checks of a fleet's answers and runs.

use egret_model::QueryId;
use egret_standin::Execution;
use egret_wire::QueryAnswer;

use crate::{Fleet, verify_answer, verify_at_most_once};

/// Checks that an answer is the caller's own, whole, and from one snapshot.
///
/// # Panics
/// Panics where a promise is broken.
pub fn assert_valid_answer(fleet: &Fleet, number: u64, answer: &QueryAnswer) {
    if let Err(violation) = verify_answer(fleet.spec().behaviour.records, number, answer) {
        panic!("{violation}");
    }
}

/// Checks that no target ran a non-idempotent request twice, and returns what ran once.
///
/// # Panics
/// Panics where one ran twice.
pub fn assert_at_most_once(fleet: &Fleet) -> usize {
    verify_at_most_once(&fleet.executions()).unwrap_or_else(|violation| panic!("{violation}"))
}

/// Returns the executions of one query at all targets.
#[must_use]
pub fn executions_of_query(fleet: &Fleet, query: QueryId) -> Vec<Execution> {
    fleet.executions().into_iter().filter(|execution| execution.query == query).collect()
}
