//! The reply of a target to a sub-request that it ran.

use egret_model::{Incarnation, PlacementId, QueryId, ShardName, SnapshotId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A hit as a target reports it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetHit {
    /// The key of the record.
    pub key: String,
    /// The score, by which hits of all shards are merged.
    pub score: f64,
    /// The record, whose JSON is passed on unparsed.
    pub record: Box<RawValue>,
}

/// The hits of one shard as a target reports them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetShardHits {
    /// The shard.
    pub shard: ShardName,
    /// The hits, empty if the search found none.
    pub hits: Vec<TargetHit>,
}

/// The reply to a [`SearchRequest`](crate::SearchRequest) that the target ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchReply {
    /// The query's identifier, echoed.
    pub query: QueryId,
    /// The run of the relay, echoed.
    pub origin: Incarnation,
    /// The number of the attempt, echoed.
    pub attempt: u64,
    /// The snapshot that was searched.
    pub snapshot: SnapshotId,
    /// The placement that the searched shards belong to.
    pub placement: PlacementId,
    /// The searched shards, including those without hits.
    pub shards: Vec<TargetShardHits>,
    /// Whether the target is shutting down and takes no further work.
    #[serde(default)]
    pub draining: bool,
}
