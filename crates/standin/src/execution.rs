//! What a stand-in target executed.

use egret_model::{PlacementId, QueryId, ServiceName, ShardName, SnapshotId, record};

record! {
    /// One sub-request that a target ran.
    #[derive(Eq)]
    pub struct Execution {
        /// The query.
        pub query: QueryId,
        /// The attempt.
        pub attempt: u64,
        /// The service.
        pub service: ServiceName,
        /// The shards.
        pub shards: Vec<ShardName>,
        /// The snapshot.
        pub snapshot: SnapshotId,
        /// The placement.
        pub placement: PlacementId,
        /// Whether the request was idempotent.
        pub idempotent: bool,
        /// The body.
        pub body: String,
        /// Milliseconds since the target started.
        pub at_ms: u64,
        /// Whether it ended with a reply, rather than a cancellation or a crash.
        pub completed: bool,
    }
}
