//! Checkers of the answers, executions and versions that a test run recorded.
//!
//! Each returns the first [`Violation`] that it finds. tests/checkers.rs runs each
//! checker on a history that breaks its promise, to show that the checker notices it.

mod answers;
mod runs;
mod versions;
mod violation;

pub use answers::{expected_hits, verify_answer};
pub use runs::{verify_at_most_once, verify_not_run};
pub use versions::VersionHistory;
pub use violation::Violation;
