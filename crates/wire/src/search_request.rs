//! What a relay sends to a target.

use egret_model::{ClassName, Incarnation, PlacementId, QueryId, ServiceName, ShardName, SnapshotId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use egret_model::record;

/// One sub-request: some shards of a query, run in one slot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchRequest {
    /// The query.
    pub query: QueryId,
    /// The relay's run, echoed in the reply.
    pub origin: Incarnation,
    /// The attempt, unique in the relay's run, echoed in the reply.
    pub attempt: u64,
    /// The service.
    pub service: ServiceName,
    /// The snapshot to search.
    pub snapshot: SnapshotId,
    /// The placement that the shards belong to.
    pub placement: PlacementId,
    /// The shards to search, sorted.
    pub shards: Vec<ShardName>,
    /// The class of work.
    pub class: ClassName,
    /// The time left, in milliseconds.
    pub budget_ms: u32,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The caller's body.
    pub body: Box<RawValue>,
}

record! {
    /// Asks a target to stop a sub-request; its search call then ends at once.
    #[derive(Eq)]
    pub struct Cancel {
        /// The query.
        pub query: QueryId,
        /// The relay's run.
        pub origin: Incarnation,
        /// The attempt.
        pub attempt: u64,
    }
}
