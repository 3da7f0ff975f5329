//! The hybrid logical clock of one process.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use crate::Stamp;

/// A hybrid logical clock: its stamps respect causal order. Clones share the state.
#[derive(Clone)]
pub struct Clock {
    last: Arc<Mutex<Stamp>>,
    now_micros: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Clock {
    /// Creates a clock that follows the host's wall clock.
    #[must_use]
    pub fn new() -> Self {
        Self::with_source(|| SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as u64))
    }

    /// Creates a clock that follows another source of microseconds, for tests.
    #[must_use]
    pub fn with_source(now_micros: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        Self { last: Arc::default(), now_micros: Arc::new(now_micros) }
    }

    /// Returns a stamp later than every stamp returned or observed before.
    #[must_use]
    pub fn tick(&self) -> Stamp {
        self.advance(Stamp::default())
    }

    /// Advances the clock past the stamp of a received message.
    pub fn observe(&self, stamp: Stamp) {
        let _ = self.advance(stamp);
    }

    fn advance(&self, observed: Stamp) -> Stamp {
        let physical = Stamp { micros: (self.now_micros)(), counter: 0 };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = observed.max(*last);
        let next = Stamp { micros: newest.micros, counter: newest.counter + 1 };
        *last = physical.max(next);
        *last
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("last", &self.last).finish_non_exhaustive()
    }
}
