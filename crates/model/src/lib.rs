//! Names, identifiers, shards, coverage and the outcome of a request.
//!
//! Every other crate speaks in these types. They hold no I/O and no clock, so
//! that the same values travel between processes and through tests.
//!
//! A request ends with an [`Outcome`](Ran) that says whether any target ran it:
//!
//! ```
//! use egret_model::Ran;
//!
//! // One sub-request was refused before it left, another one timed out.
//! assert_eq!(Ran::No.combine(Ran::Unknown), Ran::Unknown);
//! // A target answered, so the request ran.
//! assert_eq!(Ran::Unknown.combine(Ran::Yes), Ran::Yes);
//! ```
//!
//! A [`Coverage`] names exactly the shards that an answer covers:
//!
//! ```
//! use egret_model::{Coverage, MissCause, ShardId};
//!
//! let a = ShardId::new("field-desk-01", "s0").unwrap();
//! let b = ShardId::new("field-desk-02", "s0").unwrap();
//! let mut coverage = Coverage::default();
//! coverage.cover(a);
//! coverage.miss(b, MissCause::Deadline);
//! assert_eq!(coverage.share(), 0.5);
//! ```
//!
//! The terms are those of docs/glossary.md.

#[macro_use]
mod record;
mod coverage;
mod error;
mod hit;
mod ids;
mod miss;
mod name;
mod ran;
mod refusal;
mod shard;
mod snapshot_shards;
mod suspect_mark;

pub use coverage::{Coverage, Missing};
pub use error::{NameError, ParseIdError};
pub use hit::Hit;
pub use ids::{Fingerprint, Incarnation, PlacementId, QueryId, SnapshotId, Version};
pub use miss::MissCause;
pub use name::{BlockName, ClassName, DataCentre, GroupName, HostName, ReplicaName, ServiceName, ShardName};
pub use ran::Ran;
pub use refusal::{Refusal, RefusalKind};
pub use shard::ShardId;
pub use snapshot_shards::SnapshotShards;
pub use suspect_mark::SuspectMark;
