//! The gossip between the relays that are owner candidates of the same block.

use egret_model::{SuspectMark, record};

use crate::LeavingTarget;

record! {
    /// Observations of one relay that other relays cannot make by themselves.
    ///
    /// The receiver answers with a message of this type too, so that a relay that starts or
    /// resumes after a pause catches up.
    #[derive(Default, Eq)]
    pub struct RelayGossip {
        /// Suspect requests: those that broke connections to targets.
        pub marks: Vec<SuspectMark>,
        /// Targets that reported that they are draining.
        pub leaving: Vec<LeavingTarget>,
    }
}
