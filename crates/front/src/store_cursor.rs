//! The position in the store's change log up to which this host has read, across restores of the
//! store from a copy.

use std::time::Instant;

use derive_more::{Display, Error};
use egret_routes::{Registry, StorePosition};

use crate::{deletion_guard::DeletionGuard, store::StoreRead};

/// Why an answer of the store is discarded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum UnusableRead {
    /// The store was restored from a copy, so the position of the watch means nothing any more.
    #[display("the store's epoch changed from {previous} to {current}: everything is read again")]
    EpochChanged {
        /// The epoch of the position that the watch continued.
        previous: u64,
        /// The store's epoch.
        current: u64,
    },
    /// The answer is of an epoch that has ended.
    #[display(
        "the answer is of the store's epoch {epoch}, but epoch {known} has begun: \
         it was delayed, or an outdated copy of the store sent it"
    )]
    StaleEpoch {
        /// The answer's epoch.
        epoch: u64,
        /// The latest epoch that this host knows.
        known: u64,
    },
    /// The answer's epoch is too far ahead of the one that is known.
    #[display(
        "the answer is of the store's epoch {epoch}, too far ahead of epoch {known}: \
         check the header in which the store states its epoch"
    )]
    ImplausibleEpoch {
        /// The answer's epoch.
        epoch: u64,
        /// The latest epoch that this host knows.
        known: u64,
    },
}

/// The position in the store's change log up to which this host has read.
///
/// A position is valid within one epoch of the store. After an answer of a later epoch, everything
/// is read again. Known replicas stay in use until that read says otherwise, and those that it
/// lacks stay until they had time to write their entries again. See docs/DESIGN.md.
#[derive(Clone, Debug, Default)]
pub struct StoreCursor {
    guard: DeletionGuard,
    position: Option<StorePosition>,
    /// The epoch of the last read of everything.
    read_epoch: Option<u64>,
}

impl StoreCursor {
    /// Returns the position from which to watch; `None` if everything has to be read.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Moves to the position that this host has reached by gossip.
    pub fn seek(&mut self, position: Option<StorePosition>) {
        self.position = position;
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self) {
        self.guard.store_failed();
    }

    /// Records that the store no longer has the changes after the position, so everything has to be
    /// read.
    pub fn history_lost(&mut self) {
        self.position = None;
    }

    /// Moves the changes of replicas from an answer into a registry; returns whether the registry
    /// changed.
    ///
    /// # Errors
    /// Fails if the answer's epoch does not fit what is known. The registry is unchanged then, and
    /// everything has to be read.
    pub fn apply(
        &mut self,
        now: Instant,
        registry: &mut Registry,
        read: &mut StoreRead,
    ) -> Result<bool, UnusableRead> {
        let read_at = read.position;
        if let Err(error) = self.check(registry, read) {
            self.position = None;
            return Err(error);
        }
        self.guard.store_answered(now);
        let mut changes = std::mem::take(&mut read.replicas);
        let mut known_before = None;
        if read.is_whole {
            let previous_epoch = self.read_epoch.replace(read_at.epoch);
            if previous_epoch != self.read_epoch && registry.has_entries_before_epoch(read_at.epoch) {
                self.guard.store_restored(now);
            }
            known_before = Some(registry.synced().max(StorePosition::start_of_epoch(read_at.epoch)));
            changes.extend(registry.record_full_read(&changes, read_at));
        }
        self.position = Some(read_at);
        let mut has_changed = false;
        for change in self.guard.filter(now, changes, known_before) {
            has_changed |= registry.apply(change);
        }
        registry.set_locally_synced(read_at);
        registry.set_synced(self.guard.complete_before().map_or(read_at, |before| before.min(read_at)));
        Ok(has_changed)
    }

    fn check(&self, registry: &Registry, read: &StoreRead) -> Result<(), UnusableRead> {
        let synced = registry.synced();
        let (epoch, known) = (read.position.epoch, synced.epoch);
        if epoch < known {
            return Err(UnusableRead::StaleEpoch { epoch, known });
        }
        if !synced.accepts_epoch(epoch) {
            return Err(UnusableRead::ImplausibleEpoch { epoch, known });
        }
        match self.position {
            Some(position) if !read.is_whole && position.epoch != epoch => {
                Err(UnusableRead::EpochChanged { previous: position.epoch, current: epoch })
            }
            _ => Ok(()),
        }
    }
}
