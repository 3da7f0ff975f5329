//! The limit on the connections that a listener accepts.

use std::{fmt, sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep},
};

use crate::memory_account::Charge;

/// How long a new connection waits for the end of those that are evicted for it.
const EVICTION_WAIT: Duration = Duration::from_millis(50);
/// How often it is checked whether they have ended.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The limit divided by this is kept free by evictions ahead, so that new connections need not wait for the end of
/// others.
const RESERVE_DIVISOR: usize = 16;

/// What connections take up beside their number, and how room for them is made.
pub(crate) trait ConnectionPool: Send + Sync + 'static {
    /// Charges the memory of a connection; returns `None` if there is none.
    fn charge(&self) -> Option<Charge>;

    /// Returns whether the memory for more connections is about to be short.
    fn is_nearly_full(&self) -> bool;

    /// Returns whether connections have to be closed although fewer than the limit are open.
    fn is_short_of_descriptors(&self) -> bool;

    /// Closes an open connection; returns `false` if none may be closed and none is about to end.
    fn evict(&self) -> bool;
}

/// The limit on the connections that a listener accepts.
pub(crate) struct ConnectionLimit {
    free: Arc<Semaphore>,
    reserve: usize,
    pool: Option<Box<dyn ConnectionPool>>,
}

/// The room that a connection takes up, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
    _charge: Option<Charge>,
}

impl ConnectionLimit {
    /// Limits the number of connections; none is closed for another.
    pub(crate) fn new(connections: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(connections)),
            reserve: connections / RESERVE_DIVISOR,
            pool: None,
        }
    }

    /// Limits the connections of a pool, which are evicted to make room for new ones.
    pub(crate) fn evicting(connections: usize, pool: impl ConnectionPool) -> Self {
        Self { pool: Some(Box::new(pool)), ..Self::new(connections) }
    }

    /// Waits until a further connection may be served; returns `None` if it has to be closed.
    ///
    /// It must be admitted before it is served: connections that wait side by side would evict each other.
    pub(crate) async fn admit(&self) -> Option<ConnectionPermit> {
        let Some(pool) = &self.pool else {
            let permit = Arc::clone(&self.free).try_acquire_owned().ok()?;
            return Some(ConnectionPermit { _permit: permit, _charge: None });
        };
        let until = Instant::now() + EVICTION_WAIT;
        loop {
            if let Some(permit) = self.take(&**pool) {
                if pool.is_short_of_descriptors() {
                    return pool.evict().then_some(permit);
                }
                if pool.is_nearly_full() || self.free.available_permits() < self.reserve {
                    pool.evict();
                }
                return Some(permit);
            }
            if !pool.evict() || Instant::now() >= until {
                return None;
            }
            sleep(RELEASE_CHECK_INTERVAL).await;
        }
    }

    fn take(&self, pool: &dyn ConnectionPool) -> Option<ConnectionPermit> {
        let permit = Arc::clone(&self.free).try_acquire_owned().ok()?;
        Some(ConnectionPermit { _permit: permit, _charge: Some(pool.charge()?) })
    }
}

impl fmt::Debug for ConnectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionLimit")
            .field("free", &self.free.available_permits())
            .finish_non_exhaustive()
    }
}
