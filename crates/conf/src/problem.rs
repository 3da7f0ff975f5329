//! What is wrong with a declaration, where, and what to do.

use derive_more::{Display, Error};

/// One error in a declaration file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
#[display("{file}:{line}: {message}; {remedy}")]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

/// All errors of one run, sorted by file and line; never empty.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problems {
    #[error(not(source))]
    pub(crate) list: Vec<Problem>,
}

impl Problems {
    /// Returns the errors in order.
    #[must_use]
    pub fn list(&self) -> &[Problem] {
        &self.list
    }
}

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for problem in &self.list {
            writeln!(f, "{problem}")?;
        }
        write!(f, "{} errors: mend them and run again", self.list.len())
    }
}
