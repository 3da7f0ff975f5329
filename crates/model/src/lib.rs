//! Names, identifiers, shards, coverage and the outcome of a request.
//!
//! All other crates share these types. They do no I/O and read no clock, so
//! the same values are used in messages between processes and in tests.
//!
//! [`Ran`] says for every finished request whether any target executed it:
//!
//! ```
//! use egret_model::Ran;
//!
//! // One sub-request was refused before it was sent, another one timed out.
//! assert_eq!(Ran::No.combine(Ran::Unknown), Ran::Unknown);
//! // A target answered, so the request was executed.
//! assert_eq!(Ran::Unknown.combine(Ran::Yes), Ran::Yes);
//! ```
//!
//! [`Coverage`] lists the shards that an answer covers and those that it lacks:
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
//! docs/glossary.md defines the terms.

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
