//! The requests from a relay to a target.

use egret_model::{ClassName, Incarnation, PlacementId, QueryId, ServiceName, ShardName, SnapshotId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use egret_model::record;

/// A sub-request: a search of some of a query's shards, which takes one slot of the target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchRequest {
    /// The query's identifier, echoed in the reply.
    pub query: QueryId,
    /// The run of the relay, echoed in the reply.
    pub origin: Incarnation,
    /// The number of the attempt, unique within the relay's run, echoed in the reply.
    pub attempt: u64,
    /// The service.
    pub service: ServiceName,
    /// The snapshot to search.
    pub snapshot: SnapshotId,
    /// The placement that the shards belong to.
    pub placement: PlacementId,
    /// The shards to search, sorted by name.
    pub shards: Vec<ShardName>,
    /// The class of work.
    pub class: ClassName,
    /// The remaining time budget in milliseconds.
    pub budget_ms: u32,
    /// Whether the sub-request may safely be run more than once.
    pub idempotent: bool,
    /// The body of the caller's query, unparsed.
    pub body: Box<RawValue>,
}

record! {
    /// Asks a target to cancel a sub-request; the pending search request then ends at once.
    #[derive(Eq)]
    pub struct Cancel {
        /// The query's identifier.
        pub query: QueryId,
        /// The run of the relay that sent the sub-request.
        pub origin: Incarnation,
        /// The number of the attempt to cancel.
        pub attempt: u64,
    }
}
