//! Delays deletions of replicas that an outage of the store may have caused.

use std::time::{Duration, Instant};

use egret_routes::{RegistryEntry, StorePosition};

/// How long deletions are held back after an outage of the store: live replicas renew their entries
/// within two seconds, and this adds a margin.
pub const DELETION_HOLD: Duration = Duration::from_millis(2300);

/// A deletion that is held back.
#[derive(Clone, Debug)]
struct HeldDeletion {
    entry: RegistryEntry,
    /// The latest position up to which the changes are complete without the deletion.
    complete_before: StorePosition,
}

/// Holds back deletions that an outage of the store may have caused.
///
/// Replicas renew leases on their entries. During an outage they cannot, so their leases expire; a
/// copy from which the store is restored may lack their entries. Such replicas write their entries
/// again within about two seconds, and must go on getting work meanwhile.
#[derive(Clone, Debug, Default)]
pub struct DeletionGuard {
    is_store_down: bool,
    store_back_at: Option<Instant>,
    held: Vec<HeldDeletion>,
}

impl DeletionGuard {
    /// Records that the store did not answer.
    pub fn store_failed(&mut self) {
        self.is_store_down = true;
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now: Instant) {
        if self.is_store_down {
            self.is_store_down = false;
            self.store_back_at = Some(now);
        }
    }

    /// Records that the store was restored from a copy, so that entries which it lacks may be
    /// written again.
    ///
    /// Forgets the deletions that are held back from the previous epoch: the read of everything
    /// that comes with the new epoch shows again which entries are missing.
    pub fn store_restored(&mut self, now: Instant) {
        self.store_back_at = Some(now);
        self.held.clear();
    }

    fn is_holding(&self, now: Instant) -> bool {
        self.is_store_down
            || self.store_back_at.is_some_and(|at| now.saturating_duration_since(at) < DELETION_HOLD)
    }

    /// Takes changes and returns those to apply now, including deletions whose hold has ended.
    ///
    /// `complete_before` is given for changes from a read of everything, which does not show when an
    /// entry was deleted: the position up to which all changes were known before.
    pub fn filter(
        &mut self,
        now: Instant,
        changes: Vec<RegistryEntry>,
        complete_before: Option<StorePosition>,
    ) -> Vec<RegistryEntry> {
        let is_holding = self.is_holding(now);
        let mut passed = Vec::with_capacity(changes.len());
        for change in changes {
            let earlier = self.remove_held(&change);
            if change.gone && is_holding {
                let complete_before = complete_before.unwrap_or(change.position.previous());
                // Other hosts may still hold the entry that the earlier deletion removes.
                let complete_before = earlier.map_or(complete_before, |held| complete_before.min(held));
                self.held.push(HeldDeletion { entry: change, complete_before });
            } else {
                passed.push(change);
            }
        }
        if !is_holding {
            passed.extend(self.held.drain(..).map(|held| held.entry));
        }
        passed
    }

    /// Removes the held deletion that a later change of the same entry replaces; returns its
    /// `complete_before`.
    fn remove_held(&mut self, change: &RegistryEntry) -> Option<StorePosition> {
        let at = self.held.iter().position(|held| held.entry.id == change.id)?;
        Some(self.held.swap_remove(at).complete_before)
    }

    /// Returns the position before the first deletion that is held back, if there is one.
    ///
    /// This host must not claim to other hosts that it knows all changes beyond it.
    #[must_use]
    pub fn complete_before(&self) -> Option<StorePosition> {
        self.held.iter().map(|held| held.complete_before).min()
    }
}
