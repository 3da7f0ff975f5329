//! How far this host has come with the store's changes, over the store's returns from copies.

use std::time::Instant;

use derive_more::{Display, Error};
use egret_routes::{Registry, StorePosition};

use crate::{deletion_guard::DeletionGuard, store::StoreRead};

/// Why an answer of the store changes nothing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum UnusableRead {
    /// The store came back from a copy since the position that was continued from.
    #[display("the store is in epoch {now}, no longer in {was}: everything is read again")]
    EpochChanged {
        /// The epoch that was continued from.
        was: u64,
        /// The store's epoch.
        now: u64,
    },
    /// The answer is of an epoch that has ended.
    #[display("it is of epoch {epoch}, and {known} is known: an earlier answer came late, or from a copy")]
    StaleEpoch {
        /// The answer's epoch.
        epoch: u64,
        /// The epoch that is believed.
        known: u64,
    },
    /// The answer's epoch is out of reach of the one that is known.
    #[display("its epoch {epoch} cannot follow {known}: check the store's header")]
    ImplausibleEpoch {
        /// The answer's epoch.
        epoch: u64,
        /// The epoch that is believed.
        known: u64,
    },
}

/// How far this host has come with the store's changes.
///
/// A watch continues a position of one epoch only. An answer of a later epoch leads to a whole
/// read; what is known stays in force until that read says otherwise, and what it lacks is held
/// until the replicas had time to write again. See docs/DESIGN.md.
#[derive(Clone, Debug, Default)]
pub struct StoreCursor {
    guard: DeletionGuard,
    position: Option<StorePosition>,
    /// The epoch of the last whole read.
    read_epoch: Option<u64>,
}

impl StoreCursor {
    /// Returns the position that a watch continues; `None` where everything has to be read.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Continues what other hosts told meanwhile.
    pub fn seek(&mut self, position: Option<StorePosition>) {
        self.position = position;
    }

    /// Notes that the store did not answer.
    pub fn store_failed(&mut self) {
        self.guard.store_failed();
    }

    /// Notes that the store no longer has the changes after the position.
    pub fn history_lost(&mut self) {
        self.position = None;
    }

    /// Moves the replicas' changes of an answer into a registry; returns whether any is news.
    ///
    /// # Errors
    /// Says why the answer changes nothing. Then everything has to be read.
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
            let was = self.read_epoch.replace(read_at.epoch);
            if was != self.read_epoch && registry.has_entries_before_epoch(read_at.epoch) {
                self.guard.store_restored(now);
            }
            known_before = Some(registry.synced().max(StorePosition::start_of_epoch(read_at.epoch)));
            changes.extend(registry.record_full_read(&changes, read_at));
        }
        self.position = Some(read_at);
        let mut is_news = false;
        for change in self.guard.filter(now, changes, known_before) {
            is_news |= registry.apply(change);
        }
        registry.set_locally_synced(read_at);
        registry.set_synced(self.guard.complete_before().map_or(read_at, |before| before.min(read_at)));
        Ok(is_news)
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
                Err(UnusableRead::EpochChanged { was: position.epoch, now: epoch })
            }
            _ => Ok(()),
        }
    }
}
