//! The errors that occur when published values are fetched.

use derive_more::{Display, Error, From};
use egret_node::ExchangeError;

/// Why a published value could not be fetched.
#[derive(Debug, Display, Error, From)]
pub enum FetchError {
    /// The exchange with the peer or the platform failed.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The platform does not have the value.
    #[display("the platform has no value for the key {key}: publish it again")]
    #[from(skip)]
    NotFound {
        /// The key.
        key: String,
    },
    /// The value does not match its hash, cannot be parsed or came with an unexpected status.
    #[display("the value of the key {key} is invalid ({reason}): publish it again")]
    #[from(skip)]
    Broken {
        /// The key.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
}
