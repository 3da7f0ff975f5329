//! One run of a replica.

use std::sync::Arc;

use egret_model::record;

use crate::Replica;

record! {
    /// Identifies one run of a replica, since a later run may reuse the identifier.
    #[derive(Eq)]
    pub struct ReplicaRun {
        /// The replica's identifier.
        pub id: Arc<str>,
        /// The start of the run in Unix milliseconds; 0 if unknown.
        #[serde(rename = "born_ms")]
        pub started_at_ms: u64,
    }
}

impl From<&Replica> for ReplicaRun {
    fn from(replica: &Replica) -> Self {
        Self { id: Arc::clone(&replica.id), started_at_ms: replica.started_at_ms }
    }
}
