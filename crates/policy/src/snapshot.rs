//! The one snapshot that a query is drawn from.

use egret_model::{SnapshotId, SnapshotShards};

/// What is known of one service's snapshots.
#[derive(Clone, Debug)]
pub struct ServiceSnapshots {
    /// The declared snapshots with all their shards.
    pub declared: Vec<SnapshotShards>,
    /// What the service's relay last reported; `None` before its first reply.
    pub observed: Option<Vec<SnapshotShards>>,
}

impl ServiceSnapshots {
    fn servable(&self, snapshot: SnapshotId) -> u64 {
        let count = |list: &[SnapshotShards]| {
            list.iter().find(|entry| entry.snapshot == snapshot).map_or(0, |entry| u64::from(entry.shards))
        };
        let declared = count(&self.declared);
        self.observed.as_deref().map_or(declared, |observed| count(observed).min(declared))
    }
}

/// Chooses the newest snapshot among those that cover the most shards.
///
/// Targets move to a new snapshot at different times. Until it covers as much as
/// the one before, queries stay on the older one; see docs/DESIGN.md, "Snapshots".
#[must_use]
pub fn choose_snapshot(services: &[ServiceSnapshots]) -> Option<SnapshotId> {
    let mut ids: Vec<SnapshotId> =
        services.iter().flat_map(|s| s.declared.iter().map(|d| d.snapshot)).collect();
    ids.sort_unstable();
    ids.dedup();
    let covered = |id: SnapshotId| services.iter().map(|service| service.servable(id)).sum::<u64>();
    ids.into_iter().max_by_key(|&id| (covered(id), id))
}
