//! Placements of shards on replicas, and the snapshots that use them.

use egret_model::{PlacementId, ReplicaName, ShardName, SnapshotId, record};

record! {
    /// A version of the index and the placement that serves it.
    #[derive(Eq)]
    pub struct Snapshot {
        /// The version of the index.
        pub id: SnapshotId,
        /// The placement of its shards.
        pub placement: PlacementId,
    }
}

record! {
    /// The replicas that hold one shard.
    #[derive(Eq)]
    pub struct ShardReplicas {
        /// The shard.
        pub name: ShardName,
        /// Its replicas, sorted.
        pub replicas: Vec<ReplicaName>,
    }
}

record! {
    /// An assignment of every shard of a service to replicas.
    #[derive(Eq)]
    pub struct Placement {
        /// The placement's identifier.
        pub id: PlacementId,
        /// All shards, sorted by name.
        pub shards: Vec<ShardReplicas>,
    }
}

impl Placement {
    /// Finds a shard by name.
    #[must_use]
    pub fn shard(&self, name: &ShardName) -> Option<&ShardReplicas> {
        let at = self.shards.binary_search_by(|shard| shard.name.cmp(name)).ok()?;
        Some(&self.shards[at])
    }
}
