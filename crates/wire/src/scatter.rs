//! What an entry sends to a relay: one message per relay and query.

use egret_events::Stamp;
use egret_model::{
    ClassName, Fingerprint, Incarnation, PlacementId, QueryId, ServiceName, ShardName, SnapshotId,
    SuspectMark, record,
};

record! {
    /// The shards of one service that a query asks of a relay.
    #[derive(Eq)]
    pub struct ScatterPart {
        /// The service.
        pub service: ServiceName,
        /// The placement that the shards belong to.
        pub placement: PlacementId,
        /// The shards, sorted.
        pub shards: Vec<ShardName>,
    }
}

record! {
    /// A relay's parts of a query.
    #[derive(Eq)]
    pub struct Scatter {
        /// The query.
        pub query: QueryId,
        /// The entry's run, echoed in the reply.
        pub origin: Incarnation,
        /// The entry's stamp.
        pub stamp: Stamp,
        /// The request's fingerprint.
        pub fingerprint: Fingerprint,
        /// What the entry knows of the request, where it broke targets.
        pub mark: Option<SuspectMark>,
        /// The class of work.
        pub class: ClassName,
        /// The time left, in milliseconds.
        pub budget_ms: u32,
        /// Whether running a part twice does no harm.
        pub idempotent: bool,
        /// The caller's body as JSON text.
        pub body: String,
        /// The snapshot that every reply must come from.
        pub snapshot: SnapshotId,
        /// Shards that may be missing before the query is decided.
        pub allowed_misses: u32,
        /// The parts, sorted by service.
        pub parts: Vec<ScatterPart>,
    }
}
