//! The answer that a caller receives.

use egret_model::{MissCause, QueryId, Ran, ServiceName, ShardName, SnapshotId, record};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

record! {
    /// Covered shards of one service.
    #[derive(Eq)]
    pub struct ServiceShards {
        /// The service.
        pub service: ServiceName,
        /// Its covered shards, sorted.
        pub shards: Vec<ShardName>,
    }
}

record! {
    /// A shard that the answer misses.
    #[derive(Eq)]
    pub struct MissingShard {
        /// The service.
        pub service: ServiceName,
        /// The shard.
        pub shard: ShardName,
        /// Why it is missing.
        pub cause: MissCause,
    }
}

/// A hit as callers see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerHit {
    /// The record's key.
    pub key: String,
    /// The score.
    pub score: f64,
    /// The record, as the target gave it.
    pub record: Box<RawValue>,
}

/// An answer drawn from one snapshot, with exactly the shards that it covers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The query's identifier, for the time line.
    pub query: QueryId,
    /// The snapshot that every hit comes from.
    pub snapshot: SnapshotId,
    /// Covered shards as a share of those asked, from 0 to 1.
    pub coverage: f64,
    /// The covered shards by service.
    pub covered: Vec<ServiceShards>,
    /// The missing shards with their causes.
    pub missing: Vec<MissingShard>,
    /// The hits by score from high to low, then by key.
    pub hits: Vec<AnswerHit>,
    /// Whether any target ran the request.
    pub ran: Ran,
    /// Sub-requests sent to targets, including hedges and retries.
    pub attempts: u32,
    /// Sub-requests that one attempt each would have needed.
    pub needed: u32,
}
