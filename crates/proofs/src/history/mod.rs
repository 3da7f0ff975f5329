//! Checkers of what a run recorded, as plain functions over typed records.
//!
//! Each returns the first [`Violation`] that it finds; tests/checkers.rs holds each
//! against a history that breaks its promise.

mod answers;
mod runs;
mod versions;
mod violation;

pub use answers::{expected_hits, verify_answer};
pub use runs::{verify_at_most_once, verify_not_run};
pub use versions::VersionHistory;
pub use violation::Violation;
