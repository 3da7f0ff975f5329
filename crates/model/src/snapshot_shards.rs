//! How much of a service a snapshot can serve.

use crate::SnapshotId;

record! {
    /// The number of a service's shards that can be served from a snapshot.
    #[derive(Copy, Eq)]
    pub struct SnapshotShards {
        /// The snapshot.
        pub snapshot: SnapshotId,
        /// Shards that a live replica holds in it.
        pub shards: u32,
    }
}
