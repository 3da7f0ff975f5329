//! The platform's store, as this crate needs it.

use std::{future::Future, time::Duration};

use derive_more::{Display, Error};
use egret_routes::{RegistryDelta, RegistryEntry, RouteTable};

/// Why the store gave no answer that can be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No answer came in time, or the connection broke.
    #[display("the store cannot be reached ({reason}): check the network and the store")]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The store refused the call.
    #[display("the store refused the call with status {status}: check its load and this host's access")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The store no longer has the history after the revision.
    #[display("the store's history is gone: read everything again")]
    HistoryLost,
    /// The answer cannot be read.
    #[display("the store's answer cannot be read ({reason}): check its version")]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// The changes that a watch brought.
#[derive(Clone, Debug)]
pub struct Watched<T> {
    /// The revision to continue from.
    pub revision: u64,
    /// The changes, in order.
    pub changes: Vec<T>,
}

/// The platform's store, which can only be read.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest configuration; empty where there is none, or none that can be read.
    fn read_table(&self) -> impl Future<Output = Result<Watched<RouteTable>, StoreError>> + Send;

    /// Waits for a configuration that was written after a revision.
    fn watch_table(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<RouteTable>, StoreError>> + Send;

    /// Reads all replicas; every change up to the delta's revision is in it.
    fn read_replicas(&self) -> impl Future<Output = Result<RegistryDelta, StoreError>> + Send;

    /// Waits for replicas' changes after a revision.
    fn watch_replicas(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<RegistryEntry>, StoreError>> + Send;
}
