//! The ways in which a recorded history can break a promise.

use derive_more::{Display, Error};
use egret_model::{QueryId, ServiceName, ShardName, SnapshotId};

/// A broken promise, with the values that show it and a hint where to look for the cause.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    #[display(
        "shard {service}/{shard} ran the non-idempotent request {body} {count} times: look for its attempts in the timeline of events"
    )]
    RanTwice {
        /// The request's body.
        body: String,
        /// The service that ran it.
        service: ServiceName,
        /// The shard that ran it.
        shard: ShardName,
        /// How often the shard ran it.
        count: usize,
    },
    /// A request ran although every refusal of it said that it did not.
    #[display(
        "service {service} ran the request {body}, which was refused as not run: look for its refusal in the events of the entry that issued its ticket"
    )]
    RanDespiteRefusal {
        /// The request's body.
        body: String,
        /// The service that ran it.
        service: ServiceName,
    },
    /// An answer's hits are not exactly those of the shards that it lists as covered.
    #[display(
        "the keys of the {found} hits in the answer to query {query} differ from those of the {expected} matching records in its covered shards"
    )]
    WrongHits {
        /// The query.
        query: QueryId,
        /// Hits in the answer.
        found: usize,
        /// Hits that the covered shards hold.
        expected: usize,
    },
    /// An answer contains a hit from another snapshot than the one it states.
    #[display(
        "hit {key} in the answer to query {query} is not from snapshot {snapshot}, which the answer states"
    )]
    MixedSnapshots {
        /// The query.
        query: QueryId,
        /// The key of the hit.
        key: String,
        /// The snapshot that the answer states.
        snapshot: SnapshotId,
    },
    /// The stated coverage does not match the answer's lists of covered and missing shards.
    #[display(
        "the answer to query {query} states a coverage that its lists of covered and missing shards contradict"
    )]
    WrongCoverage {
        /// The query.
        query: QueryId,
    },
    /// The hits are not sorted by descending score, then by key.
    #[display("the hits in the answer to query {query} are not sorted by descending score, then by key")]
    WrongOrder {
        /// The query.
        query: QueryId,
    },
    /// No order of the published versions explains the versions that a process showed.
    #[display("process {process} showed the versions {seen:?}, which no order of publishing explains")]
    NotLinearizable {
        /// The index of the process in the [`VersionHistory`](crate::VersionHistory).
        process: usize,
        /// The versions that it showed, in order of time.
        seen: Vec<u64>,
    },
}
