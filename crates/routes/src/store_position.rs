//! A point in the history of the platform's store.

use derive_more::Display;
use egret_model::record;

record! {
    /// A point in the history of the platform's store.
    ///
    /// A store that is restored from a backup begins a new epoch: its revisions go back and are
    /// assigned again, so a revision means nothing without its epoch. See docs/DESIGN.md.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Display)]
    #[display("{epoch}:{revision}")]
    pub struct StorePosition {
        /// The number of times that the store was restored; 0 if the store does not report it.
        pub epoch: u64,
        /// The store's revision in that epoch.
        pub revision: u64,
    }
}

/// Epochs by which a store may plausibly be ahead of the known one. Each restore adds one, so a
/// greater step is a corrupt number; accepting it would make every correct answer look outdated.
const EPOCHS_AHEAD_MAX: u64 = 1000;

impl StorePosition {
    /// Returns the position of a revision in an epoch.
    #[must_use]
    pub fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Returns the position of an epoch in which nothing is known to be complete.
    #[must_use]
    pub fn start_of_epoch(epoch: u64) -> Self {
        Self { epoch, revision: 0 }
    }

    /// Returns the position before this one.
    #[must_use]
    pub fn previous(self) -> Self {
        Self { revision: self.revision.saturating_sub(1), ..self }
    }

    /// Returns whether nothing of the position's epoch is known to be complete.
    #[must_use]
    pub fn is_epoch_start(self) -> bool {
        self.revision == 0
    }

    /// Returns whether `epoch` is plausible for a store last known at this position.
    #[must_use]
    pub fn accepts_epoch(self, epoch: u64) -> bool {
        self.epoch == 0 || epoch <= self.epoch.saturating_add(EPOCHS_AHEAD_MAX)
    }
}
