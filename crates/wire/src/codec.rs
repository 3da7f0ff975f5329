//! MessagePack between the processes of the system.

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

/// A message that is truncated, broken or of another kind.
#[derive(Debug, Display, Error)]
#[display("message cannot be decoded ({source}): check that all hosts run compatible versions")]
pub struct DecodeError {
    source: rmp_serde::decode::Error,
}

/// Encodes a message with its field names, so that versions may differ by fields.
///
/// # Panics
/// Never: the messages of this crate have no values that MessagePack lacks.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("messages have a MessagePack form")
}

/// Encodes a message without its field names, for messages that hosts send all the time.
///
/// Later versions may only append fields, with a default.
///
/// # Panics
/// Never: the messages of this project have no values that MessagePack lacks.
#[must_use]
pub fn encode_compact(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages have a MessagePack form")
}

/// Decodes a message of either form.
///
/// # Errors
/// Fails where the bytes are not one whole message of the kind.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|source| DecodeError { source })
}
