//! Why a request cannot be explained.

use derive_more::{Display, Error};

/// Why a request cannot be explained.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum QuestionError {
    /// A parameter is missing.
    #[display("the parameter {name} is missing: give the host name and the path that the caller would send")]
    Missing {
        /// The parameter.
        name: &'static str,
    },
    /// The path is not valid.
    #[display(
        "the path {path} is not valid: give a path that begins with a slash, with special characters percent-encoded"
    )]
    InvalidPath {
        /// The path.
        path: String,
    },
    /// Another parameter is not valid.
    #[display("the parameter {name} is not valid: give {expected}")]
    Invalid {
        /// The parameter.
        name: &'static str,
        /// What is expected.
        expected: &'static str,
    },
    /// The host has no configuration.
    #[display(
        "this host has no configuration yet and refuses all requests with 503: check that it reaches the store or other hosts, or ask another host"
    )]
    NoConfiguration,
    /// The host has no memory for a body of this size.
    #[display("this host has no memory for a body of this size now: ask with a smaller body or later")]
    NoMemory,
}

impl QuestionError {
    /// Returns the HTTP status of the error.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::Missing { .. } | Self::InvalidPath { .. } | Self::Invalid { .. } => 400,
            Self::NoConfiguration | Self::NoMemory => 503,
        }
    }
}
