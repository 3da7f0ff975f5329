//! Errors in declaration files, with their place and a remedy.

use derive_more::{Display, Error};

/// An error in a declaration file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
#[display("{file}:{line}: {message}; {remedy}")]
pub struct Problem {
    /// The file's name.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The error.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// All errors in a set of declaration files, sorted by file and line; never empty.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problems {
    #[error(not(source))]
    pub(crate) list: Vec<Problem>,
}

impl Problems {
    /// Returns the errors, sorted by file and line.
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
        write!(f, "{} errors: correct them and run again", self.list.len())
    }
}
