//! What a target answers.

use egret_model::{Incarnation, PlacementId, QueryId, ShardName, SnapshotId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A hit as a target gives it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetHit {
    /// The record's key.
    pub key: String,
    /// The score.
    pub score: f64,
    /// The record.
    pub record: Box<RawValue>,
}

/// The hits of one shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetShardHits {
    /// The shard.
    pub shard: ShardName,
    /// Its hits.
    pub hits: Vec<TargetHit>,
}

/// The reply to a [`SearchRequest`](crate::SearchRequest) that was run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchReply {
    /// The query, echoed.
    pub query: QueryId,
    /// The relay's run, echoed.
    pub origin: Incarnation,
    /// The attempt, echoed.
    pub attempt: u64,
    /// The snapshot that was searched.
    pub snapshot: SnapshotId,
    /// The placement that was searched.
    pub placement: PlacementId,
    /// The searched shards; a shard without hits is listed with none.
    pub shards: Vec<TargetShardHits>,
    /// Whether the target is leaving.
    #[serde(default)]
    pub draining: bool,
}
