//! The clock of the async runtime, which tests can pause and advance.

use std::time::Instant;

/// Returns the current time of the runtime's clock.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
