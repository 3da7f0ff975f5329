//! The choice of the one snapshot that a query is answered from.

use egret_model::{SnapshotId, SnapshotShards};

/// The declared and the reported snapshots of one service.
#[derive(Clone, Debug)]
pub struct ServiceSnapshots {
    /// The declared snapshots, each with the number of its shards.
    pub declared: Vec<SnapshotShards>,
    /// The shards that the service's relay last reported as held; `None` before its first reply.
    pub observed: Option<Vec<SnapshotShards>>,
}

impl ServiceSnapshots {
    /// Returns the number of shards that can be answered from a snapshot.
    fn servable(&self, snapshot: SnapshotId) -> u64 {
        let count = |list: &[SnapshotShards]| {
            list.iter().find(|entry| entry.snapshot == snapshot).map_or(0, |entry| u64::from(entry.shards))
        };
        let declared = count(&self.declared);
        self.observed.as_deref().map_or(declared, |observed| count(observed).min(declared))
    }
}

/// Chooses the newest of the snapshots that cover the most shards.
///
/// Targets load a new snapshot at different times. Until it covers as many shards as
/// the previous one, queries stay on that; see docs/DESIGN.md, "Snapshots".
#[must_use]
pub fn choose_snapshot(services: &[ServiceSnapshots]) -> Option<SnapshotId> {
    let mut ids: Vec<SnapshotId> =
        services.iter().flat_map(|s| s.declared.iter().map(|d| d.snapshot)).collect();
    ids.sort_unstable();
    ids.dedup();
    let covered = |id: SnapshotId| services.iter().map(|service| service.servable(id)).sum::<u64>();
    ids.into_iter().max_by_key(|&id| (covered(id), id))
}
