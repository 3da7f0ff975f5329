//! A point in the history of the platform's store.

use derive_more::Display;
use egret_model::record;

record! {
    /// A point in the history of the platform's store.
    ///
    /// A store that comes back from a copy begins a new epoch: its revisions go back and are given
    /// out again, so a revision says nothing without its epoch. See docs/DESIGN.md.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Display)]
    #[display("{epoch}:{revision}")]
    pub struct StorePosition {
        /// Counts the store's returns from a copy; 0 where the store does not tell.
        pub epoch: u64,
        /// The store's revision in that epoch.
        pub revision: u64,
    }
}

/// Epochs by which a store may be ahead of what is known. Each restore counts one, so a greater
/// step is a damaged number, and taking it would make every true answer look old.
const EPOCHS_AHEAD_MAX: u64 = 1000;

impl StorePosition {
    /// Returns the position of a revision in an epoch.
    #[must_use]
    pub fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Returns the position at which nothing of an epoch is known.
    #[must_use]
    pub fn start_of_epoch(epoch: u64) -> Self {
        Self { epoch, revision: 0 }
    }

    /// Returns the position before this one.
    #[must_use]
    pub fn previous(self) -> Self {
        Self { revision: self.revision.saturating_sub(1), ..self }
    }

    /// Tells whether nothing of the position's epoch is known to be complete.
    #[must_use]
    pub fn is_epoch_start(self) -> bool {
        self.revision == 0
    }

    /// Tells whether an epoch may follow this position's.
    #[must_use]
    pub fn accepts_epoch(self, epoch: u64) -> bool {
        self.epoch == 0 || epoch <= self.epoch.saturating_add(EPOCHS_AHEAD_MAX)
    }
}
