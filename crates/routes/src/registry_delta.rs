//! What one registry lacks of another.

use egret_model::record;

use crate::{RegistryEntry, StorePosition};

record! {
    /// The entries that changed after a position.
    #[derive(Eq)]
    pub struct RegistryDelta {
        /// The position up to which the sender knows every change.
        pub synced: StorePosition,
        /// Whether the entries are all that the sender knows.
        pub is_whole: bool,
        /// Whether the sender read a part of the history whole, so that it knows no deletion of what
        /// was written and deleted there.
        pub has_gap: bool,
        /// The changed entries.
        pub entries: Vec<RegistryEntry>,
    }
}
