//! What a relay answers to an entry.

use egret_events::Stamp;
use egret_model::{
    Hit, Incarnation, MissCause, QueryId, Ran, ServiceName, ShardName, SnapshotId, SnapshotShards,
    SuspectMark, record,
};

record! {
    /// The hits of one covered shard.
    pub struct ShardHits {
        /// The shard.
        pub shard: ShardName,
        /// Its hits.
        pub hits: Vec<Hit>,
    }
}

record! {
    /// A shard that the relay could not cover.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ShardMiss {
        /// The shard.
        pub shard: ShardName,
        /// Why.
        pub cause: MissCause,
    }
}

record! {
    /// The outcome of one part.
    pub struct PartReply {
        /// The service.
        pub service: ServiceName,
        /// The covered shards with their hits.
        pub covered: Vec<ShardHits>,
        /// The shards that are missing.
        pub missing: Vec<ShardMiss>,
        /// Shards that can be served now, for each declared snapshot.
        pub held: Vec<SnapshotShards>,
    }
}

record! {
    /// A relay's answer to a [`Scatter`](crate::Scatter).
    pub struct ScatterReply {
        /// The query, echoed.
        pub query: QueryId,
        /// The entry's run, echoed.
        pub origin: Incarnation,
        /// The relay's stamp.
        pub stamp: Stamp,
        /// The snapshot of every hit.
        pub snapshot: SnapshotId,
        /// Whether any target ran any of the parts.
        pub ran: Ran,
        /// What the relay knows of the request, where it broke targets.
        pub mark: Option<SuspectMark>,
        /// Milliseconds after which asking again makes sense.
        pub retry_after_ms: Option<u64>,
        /// Whether the relay is shutting down, so that further work belongs elsewhere.
        pub leaving: bool,
        /// Sub-requests sent, including hedges and retries.
        pub attempts: u32,
        /// Sub-requests that one attempt each would have needed.
        pub needed: u32,
        /// The parts, sorted by service.
        pub parts: Vec<PartReply>,
    }
}
