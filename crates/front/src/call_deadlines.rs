//! The deadlines of a call to a gatherer.

use std::time::{Duration, Instant};

/// How long a gatherer may take to accept a request, which it does before it sends any to targets.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(60);

/// When the steps of a call to a gatherer must be done.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallDeadlines {
    /// When the last reply must have arrived.
    pub(crate) end_at: Instant,
    /// Until when a refusal is prompt, if the request is refused unless the gatherer serves it.
    pub(crate) prompt_until: Option<Instant>,
}

impl CallDeadlines {
    /// Returns the deadlines of a call that ends at `end_at`.
    pub(crate) fn until(end_at: Instant) -> Self {
        Self { end_at, prompt_until: None }
    }

    /// Returns when the gatherer must have accepted a call that starts now.
    pub(crate) fn accept_by(&self, now: Instant) -> Instant {
        let accept_by = now + ACCEPT_TIMEOUT;
        self.prompt_until.map_or(accept_by, |until| until.max(accept_by)).min(self.end_at)
    }

    /// Returns when there must be a connection for a call that starts now; it is not sent after that.
    pub(crate) fn connect_by(&self, now: Instant) -> Instant {
        self.prompt_until.unwrap_or(self.end_at).min(self.accept_by(now))
    }
}
