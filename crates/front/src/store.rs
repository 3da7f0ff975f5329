//! The interface to the platform's store, which holds the configuration and the replicas' entries.

use std::{future::Future, time::Duration};

use derive_more::{Display, Error};
use egret_routes::{EvacuationChange, RegistryEntry, RouteTable, StorePosition};

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call timed out, or the connection broke.
    #[display("the store cannot be reached ({reason}): check the network and the store")]
    Unreachable {
        /// What happened to the call.
        reason: String,
    },
    /// The store refused the call.
    #[display("the store refused the call with status {status}: check its load and this host's access")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The store no longer has all changes after the revision.
    #[display("the store no longer has the changes after the revision: everything has to be read again")]
    HistoryLost,
    /// The answer cannot be decoded.
    #[display("the store's answer cannot be read ({reason}): check its version")]
    Unreadable {
        /// What is wrong with the answer.
        reason: String,
    },
}

/// Everything that the store holds, or the changes after a revision.
#[derive(Clone, Debug, Default)]
pub struct StoreRead {
    /// The position up to which the answer is complete, and from which to watch next.
    pub position: StorePosition,
    /// Whether this is everything that the store holds, not changes.
    pub is_whole: bool,
    /// Configurations in the order of their changes, without those that cannot be decoded.
    pub tables: Vec<RouteTable>,
    /// Entries of replicas, in the order of their changes.
    pub replicas: Vec<RegistryEntry>,
    /// Evacuations of data centres, in the order of their changes; a read of everything lists the
    /// present ones.
    pub evacuations: Vec<EvacuationChange>,
}

/// A read-only client of the platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest configuration, all replicas and all evacuations.
    ///
    /// The answer is of one epoch and contains every change up to its position.
    fn read(&self) -> impl Future<Output = Result<StoreRead, StoreError>> + Send;

    /// Waits at most `wait` for changes after a revision of the store's current epoch.
    ///
    /// The caller must check the epoch of the answer: in another epoch the revision names another
    /// state.
    fn watch(&self, after: u64, wait: Duration)
    -> impl Future<Output = Result<StoreRead, StoreError>> + Send;
}
