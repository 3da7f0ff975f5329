//! The reply of a relay to an entry.

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
        /// The hits, empty if the search found none.
        pub hits: Vec<Hit>,
    }
}

record! {
    /// A shard that the relay could not cover.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ShardMiss {
        /// The missing shard.
        pub shard: ShardName,
        /// Why it is missing.
        pub cause: MissCause,
    }
}

record! {
    /// The result of one [`ScatterPart`](crate::ScatterPart).
    pub struct PartReply {
        /// The service.
        pub service: ServiceName,
        /// The covered shards with their hits.
        pub covered: Vec<ShardHits>,
        /// The shards that could not be covered, sorted by name.
        pub missing: Vec<ShardMiss>,
        /// The number of shards that can be served now, for each declared snapshot.
        pub held: Vec<SnapshotShards>,
    }
}

record! {
    /// The reply of a relay to a [`Scatter`](crate::Scatter).
    pub struct ScatterReply {
        /// The query's identifier, echoed.
        pub query: QueryId,
        /// The run of the entry, echoed.
        pub origin: Incarnation,
        /// The relay's clock stamp.
        pub stamp: Stamp,
        /// The snapshot that every hit comes from.
        pub snapshot: SnapshotId,
        /// Whether any target ran any of the parts.
        pub ran: Ran,
        /// The suspect mark that the relay holds for the request, if the request broke targets.
        pub mark: Option<SuspectMark>,
        /// Milliseconds after which a retry may succeed.
        pub retry_after_ms: Option<u64>,
        /// Whether the relay is shutting down; further work should go to another relay.
        pub leaving: bool,
        /// Sub-requests sent to targets, including hedges and retries.
        pub attempts: u32,
        /// Sub-requests without hedges and retries.
        pub needed: u32,
        /// The parts, sorted by service.
        pub parts: Vec<PartReply>,
    }
}
