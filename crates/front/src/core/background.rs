//! Attempts that complete in the background, after their request has ended.

use std::time::Duration;

use super::{Core, lock};

/// How many attempts of a host may complete in the background at the same time. Each holds a connection
/// and the buffers of one answer.
pub(super) const ATTEMPTS_MAX: usize = 256;

impl Core {
    /// Adds the latency of an attempt that was answered after its request had ended. A route without
    /// latencies has none yet to compare it with, or is gone.
    pub(crate) fn add_latency(&self, route_name: &str, latency: Duration) {
        let mut latencies = lock(&self.latencies);
        if let Ok(at) = latencies.binary_search_by(|item| (*item.name).cmp(route_name)) {
            latencies[at].value.add(latency);
        }
    }
}
