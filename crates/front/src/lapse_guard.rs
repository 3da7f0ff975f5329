//! Entries that vanish while the store is away.

use std::time::{Duration, Instant};

use egret_routes::RegistryEntry;

/// How long after an outage a vanished entry may come back: two seconds and a margin.
pub const LAPSE_HOLD: Duration = Duration::from_millis(2300);

/// Holds back deletions that an outage of the store may have caused.
///
/// Replicas renew their entries; those that could not during an outage come back within
/// about two seconds, and must not lose their work meanwhile.
#[derive(Clone, Debug, Default)]
pub struct LapseGuard {
    is_out: bool,
    back_at: Option<Instant>,
    held: Vec<RegistryEntry>,
}

impl LapseGuard {
    /// Notes that the store did not answer.
    pub fn failed(&mut self) {
        self.is_out = true;
    }

    /// Notes that the store answered.
    pub fn succeeded(&mut self, now: Instant) {
        if self.is_out {
            self.is_out = false;
            self.back_at = Some(now);
        }
    }

    /// Takes changes and returns those that hold now, with the deletions that are due.
    pub fn pass(&mut self, now: Instant, changes: Vec<RegistryEntry>) -> Vec<RegistryEntry> {
        let is_holding =
            self.back_at.is_some_and(|at| now.saturating_duration_since(at) < LAPSE_HOLD) || self.is_out;
        let mut passed = Vec::with_capacity(changes.len());
        for change in changes {
            self.held.retain(|held| held.id != change.id);
            if change.gone && is_holding { self.held.push(change) } else { passed.push(change) }
        }
        if !is_holding {
            passed.append(&mut self.held);
        }
        passed
    }

    /// Returns the revision before the first deletion that is held back.
    ///
    /// What is told to other hosts must not claim to be complete beyond it.
    #[must_use]
    pub fn complete_before(&self) -> Option<u64> {
        self.held.iter().map(|held| held.revision.saturating_sub(1)).min()
    }
}
