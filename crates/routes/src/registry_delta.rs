//! The changes that one registry sends to another.

use egret_model::record;

use crate::{RegistryEntry, StorePosition};

record! {
    /// The entries that one host sends to another which lacks them.
    #[derive(Eq)]
    pub struct RegistryDelta {
        /// The position up to which the sender knows every change.
        pub synced: StorePosition,
        /// Whether the entries include all that the sender has; entries not listed are deleted.
        pub is_whole: bool,
        /// Whether the sender caught up with a part of the history by a full read, so that it lacks
        /// tombstones of entries written and deleted in that part.
        pub has_gap: bool,
        /// The changed entries.
        pub entries: Vec<RegistryEntry>,
    }
}
