//! The runtime's clock, which tests pause and advance.

use std::time::Instant;

/// Returns the time of the runtime's clock.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
