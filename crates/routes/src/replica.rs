//! A replica's report about itself.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

record! {
    /// The report that a replica writes about itself to the store.
    #[derive(Eq)]
    pub struct Replica {
        /// The identifier, which a later run may reuse.
        pub id: Arc<str>,
        /// The service that it belongs to.
        pub service: Arc<str>,
        /// The address at which it accepts requests.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: Arc<str>,
        /// The number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it is leaving and accepts no new requests.
        pub draining: bool,
        /// Milliseconds of warm-up left, during which it is slow.
        #[serde(rename = "cold_ms")]
        pub warm_up_ms: u64,
        /// The start of this run in Unix milliseconds; 0 if unknown.
        #[serde(rename = "born_ms")]
        pub started_at_ms: u64,
        /// The sequence number of this report within the run.
        #[serde(rename = "report")]
        pub report_number: u64,
    }
}

impl Replica {
    /// Returns whether this report is of an earlier run than `other`, or earlier in the same run.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.started_at_ms, self.report_number) < (other.started_at_ms, other.report_number)
    }

    /// Returns whether both reports are of the same run.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at_ms == other.started_at_ms
    }
}
