//! One run of a replica.

use std::sync::Arc;

use egret_model::record;

use crate::Replica;

record! {
    /// One run of a replica: the identifier alone may be borne by a later run as well.
    #[derive(Eq)]
    pub struct ReplicaRun {
        /// The identifier.
        pub id: Arc<str>,
        /// Start of the run in Unix milliseconds; 0 where the replica does not tell.
        #[serde(rename = "born_ms")]
        pub started_at_ms: u64,
    }
}

impl From<&Replica> for ReplicaRun {
    fn from(replica: &Replica) -> Self {
        Self { id: Arc::clone(&replica.id), started_at_ms: replica.started_at_ms }
    }
}
