//! One entry of the registry.

use std::sync::Arc;

use egret_model::record;

use crate::{Replica, StorePosition};

record! {
    /// The last known value of a replica's entry in the store, or its tombstone.
    #[derive(Eq)]
    pub struct RegistryEntry {
        /// The replica's identifier.
        pub id: Arc<str>,
        /// The position of the entry's last change in the store's history.
        pub position: StorePosition,
        /// The replica's last report; `None` if the entry is unreadable or never held one.
        pub replica: Option<Replica>,
        /// Whether the entry was deleted and this is its tombstone.
        pub gone: bool,
    }
}

impl RegistryEntry {
    /// Returns the replica if it may receive new requests.
    #[must_use]
    pub fn usable(&self) -> Option<&Replica> {
        self.replica.as_ref().filter(|replica| !self.gone && !replica.draining)
    }
}
