//! The limit on the connections that a listener accepts.

use std::{fmt, sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// How long a new connection waits for the end of one that is evicted for it.
const EVICTION_WAIT: Duration = Duration::from_millis(50);

/// The limit on the connections that a listener accepts.
pub(crate) struct ConnectionLimit {
    free: Arc<Semaphore>,
    /// Returns whether connections have to be closed although fewer than the limit are open.
    is_short: Box<dyn Fn() -> bool + Send + Sync>,
    /// Closes an open connection, if there is one that may be closed.
    evict: Box<dyn Fn() -> bool + Send + Sync>,
}

impl ConnectionLimit {
    pub(crate) fn new(
        connections: usize,
        is_short: impl Fn() -> bool + Send + Sync + 'static,
        evict: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        let free = Arc::new(Semaphore::new(connections));
        Self { free, is_short: Box::new(is_short), evict: Box::new(evict) }
    }

    /// Waits until a further connection may be served; returns `None` if it has to be closed.
    pub(crate) async fn admit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return (!(self.is_short)() || (self.evict)()).then_some(permit);
        }
        if !(self.evict)() {
            return None;
        }
        timeout(EVICTION_WAIT, Arc::clone(&self.free).acquire_owned()).await.ok()?.ok()
    }
}

impl fmt::Debug for ConnectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionLimit")
            .field("free", &self.free.available_permits())
            .finish_non_exhaustive()
    }
}
