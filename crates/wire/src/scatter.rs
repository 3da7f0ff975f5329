//! The request from an entry to a relay: one message per relay and query.

use egret_events::Stamp;
use egret_model::{
    ClassName, Fingerprint, Incarnation, PlacementId, QueryId, ServiceName, ShardName, SnapshotId,
    SuspectMark, record,
};

record! {
    /// The shards of one service that a relay shall search for a query.
    #[derive(Eq)]
    pub struct ScatterPart {
        /// The service.
        pub service: ServiceName,
        /// The placement that the shards belong to.
        pub placement: PlacementId,
        /// The shards, sorted by name.
        pub shards: Vec<ShardName>,
    }
}

record! {
    /// The parts of a query that one relay runs.
    #[derive(Eq)]
    pub struct Scatter {
        /// The query's identifier.
        pub query: QueryId,
        /// The run of the entry, echoed in the reply.
        pub origin: Incarnation,
        /// The entry's clock stamp, which orders the events of both processes.
        pub stamp: Stamp,
        /// The fingerprint of the request, by which relays recognise it when it breaks targets.
        pub fingerprint: Fingerprint,
        /// The suspect mark that the entry holds for the request, if the request broke targets before.
        pub mark: Option<SuspectMark>,
        /// The class of work.
        pub class: ClassName,
        /// The remaining time budget in milliseconds.
        pub budget_ms: u32,
        /// Whether a part may safely be run more than once.
        pub idempotent: bool,
        /// The caller's body as JSON text.
        pub body: String,
        /// The snapshot that every reply must come from.
        pub snapshot: SnapshotId,
        /// The number of shards that may be missing before the query is certain to be refused.
        pub allowed_misses: u32,
        /// The parts, sorted by service.
        pub parts: Vec<ScatterPart>,
    }
}
