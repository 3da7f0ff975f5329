//! What one registry lacks of another.

use egret_model::record;

use crate::RegistryEntry;

record! {
    /// The entries that changed after a revision.
    #[derive(Eq)]
    pub struct RegistryDelta {
        /// The revision up to which the sender knows every change.
        pub synced: u64,
        /// Whether the entries are all that the sender knows.
        pub is_whole: bool,
        /// The changed entries.
        pub entries: Vec<RegistryEntry>,
    }
}
