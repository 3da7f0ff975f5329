//! Encodes and decodes the MessagePack messages between processes of the system.

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

/// A message that is truncated, corrupt or of another type.
#[derive(Debug, Display, Error)]
#[display("message cannot be decoded ({source}): check that all hosts run compatible versions")]
pub struct DecodeError {
    source: rmp_serde::decode::Error,
}

/// Encodes a message with its field names, so that releases may add or drop fields.
///
/// # Panics
/// Never: every value in the messages of this crate can be written as MessagePack.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("messages have a MessagePack form")
}

/// Encodes a message without its field names, which saves bytes in messages that hosts send all the time.
///
/// Fields are matched by position: a later release may only append fields that have a default.
///
/// # Panics
/// Never: every value in the messages of this project can be written as MessagePack.
#[must_use]
pub fn encode_compact(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages have a MessagePack form")
}

/// Decodes a message that was encoded with or without field names.
///
/// # Errors
/// Fails if the bytes are not one complete message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|source| DecodeError { source })
}
