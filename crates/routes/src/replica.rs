//! One replica, as it registered itself.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

record! {
    /// What a replica says of itself.
    #[derive(Eq)]
    pub struct Replica {
        /// The identifier, which another run may bear again.
        pub id: Arc<str>,
        /// The service.
        pub service: Arc<str>,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: Arc<str>,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Whether it leaves and takes no new work.
        pub draining: bool,
        /// Milliseconds for which it stays slow after its start.
        #[serde(rename = "cold_ms")]
        pub warm_up_ms: u64,
        /// Start of this run in Unix milliseconds; 0 where it does not tell.
        #[serde(rename = "born_ms")]
        pub started_at_ms: u64,
        /// Counts the reports of this run.
        #[serde(rename = "report")]
        pub report_number: u64,
    }
}

impl Replica {
    /// Tells whether `self` is what the same run said before `other`.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.started_at_ms, self.report_number) < (other.started_at_ms, other.report_number)
    }

    /// Tells whether both are reports of one run.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at_ms == other.started_at_ms
    }
}
