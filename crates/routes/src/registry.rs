//! All replicas, with the positions of their changes in the store's history.

use crate::{
    RegistryDelta, RegistryEntry, Replica, ReplicaRun, StorePosition, history_gaps::HistoryGaps,
    leaving_runs::LeavingRuns, reports_before_deletion::ReportsBeforeDeletion,
};

/// What a host knows of the replicas' own entries in the store.
///
/// Every change bears its position in the store's history, so hosts may tell each other what
/// they read in any order: the greater position wins. After the store came back from a copy,
/// what was known stays in force until the new epoch says otherwise; changes of an earlier
/// epoch that come later change nothing.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by identifier; entries that are gone stay as tombstones for a while.
    entries: Vec<RegistryEntry>,
    synced: StorePosition,
    /// The position up to which this host knows every change; others are not told of deletions
    /// that are held back.
    locally_synced: StorePosition,
    /// The greatest position of a change that was taken.
    last_change: StorePosition,
    /// The greatest position of a tombstone that was dropped.
    pruned: StorePosition,
    /// Where deletions are not known one by one.
    gaps: HistoryGaps,
    /// Runs that said in their answers that they leave; the store may not know it yet.
    leaving: LeavingRuns,
    /// Replicas that a copy lists which the store came back from, and that were deleted before.
    before_deletion: ReportsBeforeDeletion,
}

/// Entries that are gone and still remembered, at most. A host that lacks a forgotten one gets the
/// whole registry, so the replicas of a whole index must fit, which leave together.
const TOMBSTONES_MAX: usize = 4096;

impl Registry {
    /// Returns the position up to which every change is known.
    #[must_use]
    pub fn synced(&self) -> StorePosition {
        self.synced
    }

    /// Returns the position of the last change that was taken.
    #[must_use]
    pub fn last_change(&self) -> StorePosition {
        self.last_change
    }

    /// Declares that every change up to a position is known, and may be told.
    pub fn set_synced(&mut self, position: StorePosition) {
        self.synced = self.synced.max(position);
        self.set_locally_synced(position);
    }

    /// Declares that every change up to a position is known here, although some are held back.
    pub fn set_locally_synced(&mut self, position: StorePosition) {
        self.locally_synced = self.locally_synced.max(position);
    }

    /// Returns the replicas that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Replica> {
        let entries = self.entries.iter().filter_map(RegistryEntry::usable);
        entries.filter(|replica| !self.leaving.contains(replica) && !self.before_deletion.contains(replica))
    }

    /// Notes that a run said in an answer that it leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, run: ReplicaRun) -> bool {
        let is_news = self.leaving.add(run);
        let entries = &self.entries;
        let is_listed = |run: &ReplicaRun| entries.iter().any(|entry| entry.id == run.id && !entry.gone);
        self.leaving.limit(is_listed);
        is_news
    }

    /// Returns runs that leave while the store lists them as usable: other hosts need to be told.
    pub fn unpublished_leaving_runs(&self) -> impl Iterator<Item = ReplicaRun> {
        let entries = self.entries.iter().filter_map(RegistryEntry::usable);
        entries.filter(|replica| self.leaving.contains(replica)).map(ReplicaRun::from)
    }

    /// Returns the entries that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &RegistryEntry> {
        self.entries.iter().filter(|entry| !entry.gone)
    }

    /// Tells whether an entry stands that nothing of an epoch has confirmed.
    #[must_use]
    pub fn has_entries_before_epoch(&self, epoch: u64) -> bool {
        self.present().any(|entry| entry.position.epoch < epoch)
    }

    /// Notes that everything is read at a position, and returns the deletions of entries that are
    /// not listed there.
    #[must_use]
    pub fn record_full_read(
        &mut self,
        listed: &[RegistryEntry],
        read_at: StorePosition,
    ) -> Vec<RegistryEntry> {
        self.gaps.add(self.synced, read_at);
        let listed = Listed::new(listed);
        let is_missing = |known: &&RegistryEntry| known.position <= read_at && !listed.contains(&known.id);
        let missing = self.present().filter(is_missing).cloned();
        missing.map(|known| RegistryEntry { position: read_at, gone: true, ..known }).collect()
    }

    /// Takes a change; returns whether the entry became another one.
    ///
    /// A run that once said that it leaves never comes back, and a report that the
    /// same run made earlier changes nothing, whatever its position.
    pub fn apply(&mut self, mut entry: RegistryEntry) -> bool {
        // What is not present, and not later than what is known here, was deleted.
        let was_deleted = entry.position <= self.locally_synced && !entry.gone && !self.is_present(&entry.id);
        if was_deleted || entry.position.epoch < self.synced.epoch {
            return false;
        }
        let at = match self.find(&entry.id) {
            Ok(at) => at,
            Err(at) => {
                self.last_change = self.last_change.max(entry.position);
                self.entries.insert(at, entry);
                return true;
            }
        };
        let known = &self.entries[at];
        if entry.position <= known.position {
            return false;
        }
        if known.gone && !entry.gone && entry.position.epoch > known.position.epoch {
            known.replica.iter().for_each(|report| self.before_deletion.add(report.clone()));
        } else if entry.gone {
            self.before_deletion.remove(&entry.id);
        }
        entry.replica = match (entry.replica.take(), &known.replica) {
            (Some(new), Some(old)) => Some(merge_reports(new, old)),
            (None, Some(old)) if entry.gone => Some(old.clone()),
            (new, _) => new,
        };
        let changed = entry.gone != known.gone || entry.replica != known.replica;
        // Also what changes nothing here: another host may know a change in between.
        self.last_change = self.last_change.max(entry.position);
        self.entries[at] = entry;
        changed
    }

    /// Tells whether this registry knows what one lacks that has come so far.
    #[must_use]
    pub fn has_updates_for(&self, synced: StorePosition, changed: StorePosition) -> bool {
        self.last_change > changed
            || self.synced > synced
                && (self.last_change > synced || self.gaps.may_hide_changes(synced, changed))
            || self.synced.epoch > synced.epoch
            || self.completes(synced)
    }

    /// Returns what a registry lacks that knows every change up to `synced`, and up to `changed`
    /// all but deletions that were held back.
    #[must_use]
    pub fn delta(&self, synced: StorePosition, changed: StorePosition) -> RegistryDelta {
        let is_whole = synced < self.pruned
            || self.gaps.may_hide_changes(synced, changed)
            || synced == StorePosition::default()
            || synced.epoch < self.synced.epoch
            || self.completes(synced);
        let lacking = |entry: &&RegistryEntry| {
            entry.position > changed || entry.gone && entry.position > synced || is_whole && !entry.gone
        };
        let entries = self.entries.iter().filter(lacking).cloned().collect();
        let has_gap = self.gaps.extend_beyond(synced);
        RegistryDelta { synced: self.synced, is_whole, has_gap, entries }
    }

    /// Tells whether this registry is complete in an epoch of which another one only knows changes.
    fn completes(&self, synced: StorePosition) -> bool {
        synced.epoch == self.synced.epoch && synced.is_epoch_start() && !self.synced.is_epoch_start()
    }

    /// Takes what another host knows; returns whether anything became another.
    ///
    /// What a host tells that has not heard of the store's epoch changes nothing.
    pub fn merge(&mut self, delta: RegistryDelta) -> bool {
        if delta.synced.epoch < self.synced.epoch || !self.synced.accepts_epoch(delta.synced.epoch) {
            return false;
        }
        if delta.has_gap && delta.synced > self.synced {
            self.gaps.add(self.synced, delta.synced);
        }
        let mut changed = false;
        // While the sender waits for replicas to write again, what it lacks may still come.
        if delta.is_whole && delta.synced > self.synced && !delta.synced.is_epoch_start() {
            for missing in self.record_full_read(&delta.entries, delta.synced) {
                changed |= self.apply(missing);
            }
        }
        for entry in delta.entries {
            changed |= self.apply(entry);
        }
        self.set_synced(delta.synced);
        self.prune();
        changed
    }

    fn is_present(&self, id: &str) -> bool {
        self.find(id).is_ok_and(|at| !self.entries[at].gone)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|known| (*known.id).cmp(id))
    }

    fn prune(&mut self) {
        let mut gone: Vec<StorePosition> =
            self.entries.iter().filter(|e| e.gone).map(|e| e.position).collect();
        if gone.len() <= TOMBSTONES_MAX {
            return;
        }
        gone.sort_unstable();
        let limit = gone[gone.len() - TOMBSTONES_MAX / 2];
        self.entries.retain(|entry| !entry.gone || entry.position >= limit);
        self.pruned = self.pruned.max(limit);
    }
}

/// The identifiers of entries that are not gone, sorted.
struct Listed<'a>(Vec<&'a str>);

impl<'a> Listed<'a> {
    fn new(entries: &'a [RegistryEntry]) -> Self {
        let present = entries.iter().filter(|entry| !entry.gone);
        let mut ids: Vec<&str> = present.map(|entry| &*entry.id).collect();
        ids.sort_unstable();
        Self(ids)
    }

    fn contains(&self, id: &str) -> bool {
        self.0.binary_search(&id).is_ok()
    }
}

fn merge_reports(new: Replica, old: &Replica) -> Replica {
    if new.is_older_than(old) {
        return old.clone();
    }
    let draining = new.draining || new.is_same_run(old) && old.draining;
    Replica { draining, ..new }
}
