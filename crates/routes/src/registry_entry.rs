//! One entry of the registry.

use std::sync::Arc;

use egret_model::record;

use crate::{Replica, StorePosition};

record! {
    /// What the store last held under a replica's identifier.
    #[derive(Eq)]
    pub struct RegistryEntry {
        /// The identifier.
        pub id: Arc<str>,
        /// Where the change stands in the store's history.
        pub position: StorePosition,
        /// The replica; `None` where the entry cannot be read or never named one.
        pub replica: Option<Replica>,
        /// Whether the entry is gone.
        pub gone: bool,
    }
}

impl RegistryEntry {
    /// Returns the replica where new work may go to it.
    #[must_use]
    pub fn usable(&self) -> Option<&Replica> {
        self.replica.as_ref().filter(|replica| !self.gone && !replica.draining)
    }
}
