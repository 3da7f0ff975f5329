//! The platform's store, as this crate needs it.

use std::{future::Future, time::Duration};

use derive_more::{Display, Error};
use egret_routes::{RegistryEntry, RouteTable, StorePosition};

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

/// What the store holds, or what changed in it.
#[derive(Clone, Debug, Default)]
pub struct StoreRead {
    /// The position to continue from.
    pub position: StorePosition,
    /// Whether the entries are all that the store holds.
    pub is_whole: bool,
    /// Configurations, in order; those that cannot be read are left out.
    pub tables: Vec<RouteTable>,
    /// Replicas' entries, in order.
    pub replicas: Vec<RegistryEntry>,
}

/// The platform's store, which can only be read.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest configuration and all replicas.
    ///
    /// Every change up to the position of the answer is in it, and all of it is of one epoch.
    fn read(&self) -> impl Future<Output = Result<StoreRead, StoreError>> + Send;

    /// Waits for changes after a revision of the store's present epoch, at most for `wait`.
    ///
    /// The answer says which epoch that is; in another one the revision means something else.
    fn watch(&self, after: u64, wait: Duration)
    -> impl Future<Output = Result<StoreRead, StoreError>> + Send;
}
