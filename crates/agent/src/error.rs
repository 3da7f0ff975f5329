//! Errors of fetching published values.

use derive_more::{Display, Error, From};
use egret_node::ExchangeError;

/// A published value that could not be fetched.
#[derive(Debug, Display, Error, From)]
pub enum FetchError {
    /// The source did not answer.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The source does not have the value.
    #[display("{key} is not there: publish it again")]
    #[from(skip)]
    Absent {
        /// The key.
        key: String,
    },
    /// The value is not what its hash or kind says.
    #[display("{key} is broken ({reason}): publish it again")]
    #[from(skip)]
    Broken {
        /// The key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}
