//! A promise that a history breaks.

use derive_more::{Display, Error};
use egret_model::{QueryId, ServiceName, ShardName, SnapshotId};

/// A broken promise, with where to look for its cause.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    #[display("{service}/{shard} ran {body} {count} times: search the time line for both attempts")]
    RanTwice {
        /// The request's body.
        body: String,
        /// The service.
        service: ServiceName,
        /// The shard.
        shard: ShardName,
        /// Its executions.
        count: usize,
    },
    /// A request ran although a refusal said that it did not.
    #[display("{service} ran {body}, which was refused as not run: search the ledger's events")]
    RanDespiteRefusal {
        /// The request's body.
        body: String,
        /// The service.
        service: ServiceName,
    },
    /// An answer's hits are not those of the shards that it says it covers.
    #[display("query {query} has {found} hits where its covered shards hold {held}, or others")]
    WrongHits {
        /// The query.
        query: QueryId,
        /// Hits in the answer.
        found: usize,
        /// Hits that the covered shards hold.
        held: usize,
    },
    /// An answer holds a hit of another snapshot.
    #[display("hit {key} of query {query} is not from snapshot {snapshot}")]
    MixedSnapshots {
        /// The query.
        query: QueryId,
        /// The hit.
        key: String,
        /// The snapshot that the answer states.
        snapshot: SnapshotId,
    },
    /// The stated share of covered shards does not fit the lists.
    #[display("query {query} states a coverage that its lists of shards contradict")]
    WrongCoverage {
        /// The query.
        query: QueryId,
    },
    /// The hits are not in the answer's order.
    #[display("the hits of query {query} are not in order")]
    WrongOrder {
        /// The query.
        query: QueryId,
    },
    /// A process's reads fit no order of the published versions.
    #[display("process {process} saw versions {seen:?}, which no order of publishing explains")]
    NotLinearizable {
        /// The process's number in the history.
        process: usize,
        /// The versions that it saw, in order.
        seen: Vec<u64>,
    },
}
