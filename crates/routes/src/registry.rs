//! The replicated registry of replicas, merged by store position.

use crate::{
    RegistryDelta, RegistryEntry, Replica, ReplicaRun, StorePosition, history_gaps::HistoryGaps,
    leaving_runs::LeavingRuns, reports_before_deletion::ReportsBeforeDeletion,
};

/// One host's copy of the entries that replicas write about themselves to the store.
///
/// Every change carries its position in the store's history, so hosts can gossip what they read
/// in any order: the greatest position wins. After the store is restored from a backup, the
/// entries known before stay in force until a change of the new epoch replaces them; changes of
/// earlier epochs that arrive later are ignored.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by identifier; deleted entries stay as tombstones until they are pruned.
    entries: Vec<RegistryEntry>,
    /// The position up to which every change is known and may be gossiped.
    synced: StorePosition,
    /// The position up to which this host has read every change, including deletions that it
    /// still withholds from its registry and from other hosts.
    locally_synced: StorePosition,
    /// The greatest position of any applied change.
    last_change: StorePosition,
    /// Tombstones before this position may have been pruned.
    pruned: StorePosition,
    /// The ranges of the history in which single deletions are unknown.
    gaps: HistoryGaps,
    /// Runs whose responses announced that they leave; the store may still list them as usable.
    leaving: LeavingRuns,
    /// Replicas that a restored backup lists although they were deleted before the restore.
    before_deletion: ReportsBeforeDeletion,
}

/// Tombstones that are kept, at most. A host that lacks a pruned one is sent the whole registry.
/// All replicas of an index may leave together, so their tombstones must fit.
const TOMBSTONES_MAX: usize = 4096;

impl Registry {
    /// Returns the position up to which every change is known and may be gossiped.
    #[must_use]
    pub fn synced(&self) -> StorePosition {
        self.synced
    }

    /// Returns the greatest position of any applied change.
    #[must_use]
    pub fn last_change(&self) -> StorePosition {
        self.last_change
    }

    /// Declares that every change up to `position` is known and may be gossiped.
    pub fn set_synced(&mut self, position: StorePosition) {
        self.synced = self.synced.max(position);
        self.set_locally_synced(position);
    }

    /// Declares that every change up to `position` was read, although some deletions are withheld.
    pub fn set_locally_synced(&mut self, position: StorePosition) {
        self.locally_synced = self.locally_synced.max(position);
    }

    /// Returns the replicas that may receive new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Replica> {
        let entries = self.entries.iter().filter_map(RegistryEntry::usable);
        entries.filter(|replica| !self.leaving.contains(replica) && !self.before_deletion.contains(replica))
    }

    /// Records that a run announced in a response that it leaves; returns whether this is new.
    pub fn mark_leaving(&mut self, run: ReplicaRun) -> bool {
        let is_new = self.leaving.add(run);
        let entries = &self.entries;
        let is_listed = |run: &ReplicaRun| entries.iter().any(|entry| entry.id == run.id && !entry.gone);
        self.leaving.limit(is_listed);
        is_new
    }

    /// Returns the leaving runs that the store still lists as usable, for gossip to other hosts.
    pub fn unpublished_leaving_runs(&self) -> impl Iterator<Item = ReplicaRun> {
        let entries = self.entries.iter().filter_map(RegistryEntry::usable);
        entries.filter(|replica| self.leaving.contains(replica)).map(ReplicaRun::from)
    }

    /// Returns the entries that are not tombstones.
    pub fn present(&self) -> impl Iterator<Item = &RegistryEntry> {
        self.entries.iter().filter(|entry| !entry.gone)
    }

    /// Returns whether any present entry was last changed before `epoch`.
    #[must_use]
    pub fn has_entries_before_epoch(&self, epoch: u64) -> bool {
        self.present().any(|entry| entry.position.epoch < epoch)
    }

    /// Records a full read of the store at `read_at`, and returns tombstones for the known entries
    /// that it does not list.
    #[must_use]
    pub fn record_full_read(
        &mut self,
        listed: &[RegistryEntry],
        read_at: StorePosition,
    ) -> Vec<RegistryEntry> {
        self.gaps.add(self.synced, read_at);
        let listed = PresentIds::new(listed);
        let is_missing = |known: &&RegistryEntry| known.position <= read_at && !listed.contains(&known.id);
        let missing = self.present().filter(is_missing).cloned();
        missing.map(|known| RegistryEntry { position: read_at, gone: true, ..known }).collect()
    }

    /// Applies a change; returns whether the entry differs afterwards.
    ///
    /// A run that once reported that it drains stays draining, and an earlier report of the same
    /// run is ignored, whatever its position.
    pub fn apply(&mut self, mut entry: RegistryEntry) -> bool {
        // Every change up to `locally_synced` is known, so an absent entry from before was deleted.
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
        // Advances even if nothing differs here: another host may know a change in between.
        self.last_change = self.last_change.max(entry.position);
        self.entries[at] = entry;
        changed
    }

    /// Returns whether this registry knows changes that a peer lacks.
    ///
    /// The peer knows every change up to `synced` and, withheld deletions aside, up to `changed`.
    #[must_use]
    pub fn has_updates_for(&self, synced: StorePosition, changed: StorePosition) -> bool {
        self.last_change > changed
            || self.synced > synced
                && (self.last_change > synced || self.gaps.may_hide_changes(synced, changed))
            || self.synced.epoch > synced.epoch
            || self.is_complete_unlike(synced)
    }

    /// Returns the entries that a peer lacks which knows every change up to `synced` and, withheld
    /// deletions aside, up to `changed`.
    #[must_use]
    pub fn delta(&self, synced: StorePosition, changed: StorePosition) -> RegistryDelta {
        let is_whole = synced < self.pruned
            || self.gaps.may_hide_changes(synced, changed)
            || synced == StorePosition::default()
            || synced.epoch < self.synced.epoch
            || self.is_complete_unlike(synced);
        let is_lacking = |entry: &&RegistryEntry| {
            entry.position > changed || entry.gone && entry.position > synced || is_whole && !entry.gone
        };
        let entries = self.entries.iter().filter(is_lacking).cloned().collect();
        let has_gap = self.gaps.extend_beyond(synced);
        RegistryDelta { synced: self.synced, is_whole, has_gap, entries }
    }

    /// Returns whether this registry is complete in the epoch of `synced`, of which the peer knows
    /// only single changes.
    fn is_complete_unlike(&self, synced: StorePosition) -> bool {
        synced.epoch == self.synced.epoch && synced.is_epoch_start() && !self.synced.is_epoch_start()
    }

    /// Merges another host's delta; returns whether any entry differs afterwards.
    ///
    /// A delta of an earlier epoch is ignored, and so is one whose epoch is implausibly far ahead.
    pub fn merge(&mut self, delta: RegistryDelta) -> bool {
        if delta.synced.epoch < self.synced.epoch || !self.synced.accepts_epoch(delta.synced.epoch) {
            return false;
        }
        if delta.has_gap && delta.synced > self.synced {
            self.gaps.add(self.synced, delta.synced);
        }
        let mut changed = false;
        // At an epoch's start the sender still waits for replicas to write again after a restore,
        // so an entry that it does not list is not thereby deleted.
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

/// The sorted identifiers of the entries that are not tombstones.
struct PresentIds<'a>(Vec<&'a str>);

impl<'a> PresentIds<'a> {
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

/// Returns the later of two reports; a run that was draining stays so.
fn merge_reports(new: Replica, old: &Replica) -> Replica {
    if new.is_older_than(old) {
        return old.clone();
    }
    let draining = new.draining || new.is_same_run(old) && old.draining;
    Replica { draining, ..new }
}
