//! All replicas, with the store's revisions.

use crate::{RegistryDelta, RegistryEntry, Replica, ReplicaRun, leaving_runs::LeavingRuns};

/// What a host knows of the replicas' own entries in the store.
///
/// Every change bears the store's revision, so hosts may tell each other what they
/// read in any order: the greater revision wins.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by identifier; entries that are gone stay as tombstones for a while.
    entries: Vec<RegistryEntry>,
    synced: u64,
    /// The greatest revision of a change that made a difference.
    changed: u64,
    /// The greatest revision of a tombstone that was dropped.
    pruned: u64,
    /// Runs that said in their answers that they leave; the store may not know it yet.
    leaving: LeavingRuns,
}

/// Entries that are gone and still remembered, at most. A host that lacks a forgotten one gets the
/// whole registry, so the replicas of a whole index must fit, which leave together.
const TOMBSTONES_MAX: usize = 4096;

impl Registry {
    /// Returns the revision up to which every change is known.
    #[must_use]
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Returns the revision of the last change that made a difference.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Declares that every change up to a revision is known.
    pub fn set_synced(&mut self, revision: u64) {
        self.synced = self.synced.max(revision);
    }

    /// Returns the replicas that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Replica> {
        let entries = self.entries.iter().filter_map(RegistryEntry::usable);
        entries.filter(|replica| !self.leaving.contains(replica))
    }

    /// Notes that a run said in an answer that it leaves; returns whether that is news.
    pub fn leaves(&mut self, run: ReplicaRun) -> bool {
        let is_news = self.leaving.add(run);
        let entries = &self.entries;
        let is_listed = |run: &ReplicaRun| entries.iter().any(|entry| entry.id == run.id && !entry.gone);
        self.leaving.limit(is_listed);
        is_news
    }

    /// Returns runs that leave while the store lists them as usable: other hosts need to be told.
    pub fn leaving_unlisted(&self) -> impl Iterator<Item = ReplicaRun> {
        let entries = self.entries.iter().filter_map(RegistryEntry::usable);
        entries.filter(|replica| self.leaving.contains(replica)).map(ReplicaRun::from)
    }

    /// Returns the entries that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &RegistryEntry> {
        self.entries.iter().filter(|entry| !entry.gone)
    }

    /// Takes a change; returns whether the entry became another one.
    ///
    /// A run that once said that it leaves never comes back, and a report that the
    /// same run made earlier changes nothing, whatever its revision.
    pub fn apply(&mut self, mut entry: RegistryEntry) -> bool {
        let at = match self.entries.binary_search_by(|known| known.id.cmp(&entry.id)) {
            Ok(at) => at,
            Err(at) => {
                self.changed = self.changed.max(entry.revision);
                self.entries.insert(at, entry);
                return true;
            }
        };
        let known = &self.entries[at];
        if entry.revision <= known.revision {
            return false;
        }
        entry.replica = match (entry.replica.take(), &known.replica) {
            (Some(new), Some(old)) => Some(later_of(new, old)),
            (None, Some(old)) if entry.gone => Some(old.clone()),
            (new, _) => new,
        };
        let changed = entry.gone != known.gone || entry.replica != known.replica;
        if changed {
            self.changed = self.changed.max(entry.revision);
        }
        self.entries[at] = entry;
        changed
    }

    /// Tells whether this registry knows what one lacks that has come so far.
    #[must_use]
    pub fn is_ahead_of(&self, synced: u64, changed: u64) -> bool {
        self.changed > changed || self.synced > synced && self.changed > synced
    }

    /// Returns what a registry lacks that knows every change up to `synced`, and up to `changed`
    /// all but deletions that were held back.
    #[must_use]
    pub fn delta(&self, synced: u64, changed: u64) -> RegistryDelta {
        let is_whole = synced < self.pruned || synced == 0;
        let lacking = |entry: &&RegistryEntry| {
            entry.revision > changed || entry.gone && entry.revision > synced || is_whole && !entry.gone
        };
        let entries = self.entries.iter().filter(lacking).cloned().collect();
        RegistryDelta { synced: self.synced, is_whole, entries }
    }

    /// Takes what another host knows; returns whether anything became another.
    pub fn merge(&mut self, delta: RegistryDelta) -> bool {
        let mut changed = false;
        if delta.is_whole && delta.synced > self.synced {
            changed |= self.bury_unlisted(&delta);
        }
        for entry in delta.entries {
            changed |= self.apply(entry);
        }
        self.set_synced(delta.synced);
        self.prune();
        changed
    }

    fn bury_unlisted(&mut self, delta: &RegistryDelta) -> bool {
        let mut changed = false;
        for entry in &mut self.entries {
            let is_listed = delta.entries.iter().any(|listed| listed.id == entry.id);
            if !is_listed && !entry.gone && entry.revision <= delta.synced {
                entry.gone = true;
                entry.revision = delta.synced;
                self.changed = self.changed.max(entry.revision);
                changed = true;
            }
        }
        changed
    }

    fn prune(&mut self) {
        let mut gone: Vec<u64> = self.entries.iter().filter(|e| e.gone).map(|e| e.revision).collect();
        if gone.len() <= TOMBSTONES_MAX {
            return;
        }
        gone.sort_unstable();
        let limit = gone[gone.len() - TOMBSTONES_MAX / 2];
        self.entries.retain(|entry| !entry.gone || entry.revision >= limit);
        self.pruned = self.pruned.max(limit);
    }
}

fn later_of(new: Replica, old: &Replica) -> Replica {
    if new.is_older_than(old) {
        return old.clone();
    }
    let draining = new.draining || new.is_same_run(old) && old.draining;
    Replica { draining, ..new }
}
