//! How many shards a snapshot can be served with.

use crate::SnapshotId;

record! {
    /// The number of shards of a service that can be queried in a snapshot.
    #[derive(Copy, Eq)]
    pub struct SnapshotShards {
        /// The snapshot.
        pub snapshot: SnapshotId,
        /// Shards for which a live replica holds the snapshot.
        pub shards: u32,
    }
}
