//! Which replicas hold which shards, and which snapshot uses which placement.

use egret_model::{PlacementId, ReplicaName, ShardName, SnapshotId, record};

record! {
    /// One index version and the placement that it is served with.
    #[derive(Eq)]
    pub struct Snapshot {
        /// The index version.
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
    /// Finds a shard.
    #[must_use]
    pub fn shard(&self, name: &ShardName) -> Option<&ShardReplicas> {
        let at = self.shards.binary_search_by(|place| place.name.cmp(name)).ok()?;
        Some(&self.shards[at])
    }
}
