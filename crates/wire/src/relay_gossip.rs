//! What the candidates of a block tell each other.

use egret_model::{SuspectMark, record};

use crate::LeavingTarget;

record! {
    /// What one relay knows and another one cannot find out by itself.
    ///
    /// The answer is a notice too, so that a relay that starts or wakes up learns
    /// what it missed.
    #[derive(Default, Eq)]
    pub struct RelayGossip {
        /// Requests that broke targets.
        pub marks: Vec<SuspectMark>,
        /// Targets that said that they leave.
        pub leaving: Vec<LeavingTarget>,
    }
}
