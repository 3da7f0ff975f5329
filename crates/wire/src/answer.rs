//! The answer that a caller receives.

use egret_model::{MissCause, QueryId, Ran, ServiceName, ShardName, SnapshotId, record};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

record! {
    /// The shards of one service that an answer covers.
    #[derive(Eq)]
    pub struct ServiceShards {
        /// The service.
        pub service: ServiceName,
        /// The covered shards, sorted by name.
        pub shards: Vec<ShardName>,
    }
}

record! {
    /// A shard that an answer does not cover, with the cause.
    #[derive(Eq)]
    pub struct MissingShard {
        /// The service that the shard belongs to.
        pub service: ServiceName,
        /// The missing shard.
        pub shard: ShardName,
        /// Why it is missing.
        pub cause: MissCause,
    }
}

/// A hit as it stands in the answer to a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerHit {
    /// The key of the record.
    pub key: String,
    /// The score that the target gave; hits of all shards are merged by it.
    pub score: f64,
    /// The record as the target sent it; its JSON is passed on unparsed.
    pub record: Box<RawValue>,
}

/// The answer to a query: hits of a single snapshot, and the shards that were and were not searched.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The query's identifier, by which `egret-timeline` finds its events.
    pub query: QueryId,
    /// The snapshot that every hit comes from.
    pub snapshot: SnapshotId,
    /// Covered shards as a share of the requested ones, from 0 to 1.
    pub coverage: f64,
    /// The covered shards, grouped by service.
    pub covered: Vec<ServiceShards>,
    /// The shards that are not covered, with the causes.
    pub missing: Vec<MissingShard>,
    /// The hits, by descending score, then by key.
    pub hits: Vec<AnswerHit>,
    /// Whether any target ran any part of the request.
    pub ran: Ran,
    /// Sub-requests sent to targets, including hedges and retries.
    pub attempts: u32,
    /// Sub-requests without hedges and retries; `attempts / needed` is the load amplification.
    pub needed: u32,
}
