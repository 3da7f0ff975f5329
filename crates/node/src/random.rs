//! Random identifiers and keys.

use egret_model::{Incarnation, QueryId};

const KEY_BYTES: usize = 32;

/// Generates the identifier of this run of the process.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(fastrand::u64(1..))
}

/// Generates the identifier of a query.
#[must_use]
pub fn new_query_id() -> QueryId {
    QueryId(fastrand::u128(1..))
}

/// Generates a secret key from the operating system's random source.
///
/// # Panics
/// Panics if the operating system provides no random bytes, because tickets could then be forged.
#[must_use]
pub fn new_secret_key() -> [u8; KEY_BYTES] {
    let mut key = [0; KEY_BYTES];
    getrandom::fill(&mut key).expect("the operating system provides random bytes");
    key
}
