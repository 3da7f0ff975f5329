//! The record of a sub-request that a stand-in target executed.

use egret_model::{PlacementId, QueryId, ServiceName, ShardName, SnapshotId, record};

record! {
    /// One sub-request that a target started to execute.
    #[derive(Eq)]
    pub struct Execution {
        /// The query that the sub-request belongs to.
        pub query: QueryId,
        /// The number of the attempt, as the request gave it.
        pub attempt: u64,
        /// The service whose shards were searched.
        pub service: ServiceName,
        /// The shards that were searched.
        pub shards: Vec<ShardName>,
        /// The snapshot that the request asked for.
        pub snapshot: SnapshotId,
        /// The placement that the request asked for.
        pub placement: PlacementId,
        /// Whether the request was marked as idempotent.
        pub idempotent: bool,
        /// The search body as JSON text.
        pub body: String,
        /// The start of the execution, in milliseconds since the target was created.
        pub at_ms: u64,
        /// Whether it ended with a reply rather than with a cancellation or a crash.
        pub completed: bool,
    }
}
