//! A target's word that it did not run a sub-request.

use egret_model::record;

record! {
    /// Why a target did not run a sub-request.
    #[derive(derive_more::Display)]
    pub enum TargetRefusalReason {
        /// All slots are taken.
        #[display("busy")]
        Busy,
        /// The target is leaving.
        #[display("draining")]
        Draining,
        /// The target is starting.
        #[display("starting")]
        Starting,
        /// The target does not hold the snapshot with this placement.
        #[display("snapshot")]
        Snapshot,
        /// The sub-request was cancelled, or its time ended, before it ran.
        #[display("expired")]
        Expired,
    }
}

record! {
    /// The body of a target's refusal, with status 503 or 409.
    #[derive(Eq)]
    pub struct TargetRefusal {
        /// Why.
        pub reason: TargetRefusalReason,
        /// Milliseconds after which the target may take work.
        #[serde(default)]
        pub retry_after_ms: Option<u64>,
    }
}
