//! Entries that vanish while the store is away.

use std::time::{Duration, Instant};

use egret_routes::{RegistryEntry, StorePosition};

/// How long after an outage a vanished entry may come back: two seconds and a margin.
pub const DELETION_HOLD: Duration = Duration::from_millis(2300);

/// A deletion that is held back.
#[derive(Clone, Debug)]
struct Held {
    entry: RegistryEntry,
    /// Up to here everything is known although the deletion is not told.
    complete_before: StorePosition,
}

/// Holds back deletions that an outage of the store may have caused.
///
/// Replicas renew their entries; those that could not during an outage, or whose entries a copy
/// of the store lacks, come back within about two seconds, and must not lose their work meanwhile.
#[derive(Clone, Debug, Default)]
pub struct DeletionGuard {
    is_out: bool,
    back_at: Option<Instant>,
    held: Vec<Held>,
}

impl DeletionGuard {
    /// Notes that the store did not answer.
    pub fn store_failed(&mut self) {
        self.is_out = true;
    }

    /// Notes that the store answered.
    pub fn store_answered(&mut self, now: Instant) {
        if self.is_out {
            self.is_out = false;
            self.back_at = Some(now);
        }
    }

    /// Notes that the store came back from a copy: what it lacks may be written again.
    ///
    /// Deletions of the earlier epoch are of no use; the whole read that tells of the new one finds
    /// again which of them hold.
    pub fn store_restored(&mut self, now: Instant) {
        self.back_at = Some(now);
        self.held.clear();
    }

    fn is_holding(&self, now: Instant) -> bool {
        self.is_out || self.back_at.is_some_and(|at| now.saturating_duration_since(at) < DELETION_HOLD)
    }

    /// Takes changes and returns those that hold now, with the deletions that are due.
    ///
    /// `complete_before` is up to where everything was known before the changes, where they come
    /// from a whole read, which does not tell when something was deleted.
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
                // Others still hold what the first deletion ended.
                let complete_before = earlier.map_or(complete_before, |held| complete_before.min(held));
                self.held.push(Held { entry: change, complete_before });
            } else {
                passed.push(change);
            }
        }
        if !is_holding {
            passed.extend(self.held.drain(..).map(|held| held.entry));
        }
        passed
    }

    /// Drops a deletion that a change follows; returns up to where everything was known before it.
    fn remove_held(&mut self, change: &RegistryEntry) -> Option<StorePosition> {
        let at = self.held.iter().position(|held| held.entry.id == change.id)?;
        Some(self.held.swap_remove(at).complete_before)
    }

    /// Returns the position before the first deletion that is held back.
    ///
    /// What is told to other hosts must not claim to be complete beyond it.
    #[must_use]
    pub fn complete_before(&self) -> Option<StorePosition> {
        self.held.iter().map(|held| held.complete_before).min()
    }
}
