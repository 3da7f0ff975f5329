//! Random identifiers.

use egret_model::{Incarnation, QueryId};

const KEY_BYTES: usize = 32;

/// Draws the identifier of this run of a process.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(fastrand::u64(1..))
}

/// Draws the identifier of a query.
#[must_use]
pub fn new_query_id() -> QueryId {
    QueryId(fastrand::u128(1..))
}

/// Draws a secret key from the operating system.
///
/// # Panics
/// Panics where the operating system has no randomness, without which no ticket is safe.
#[must_use]
pub fn new_secret_key() -> [u8; KEY_BYTES] {
    let mut key = [0; KEY_BYTES];
    getrandom::fill(&mut key).expect("the operating system gives random bytes");
    key
}
