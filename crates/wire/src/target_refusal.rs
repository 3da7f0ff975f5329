//! The body with which a target states that it did not run a sub-request.

use egret_model::record;

record! {
    /// Why a target did not run a sub-request.
    #[derive(derive_more::Display)]
    pub enum TargetRefusalReason {
        /// All slots of the target are taken.
        #[display("busy")]
        Busy,
        /// The target is shutting down and takes no new work.
        #[display("draining")]
        Draining,
        /// The target is starting and cannot serve yet.
        #[display("starting")]
        Starting,
        /// The target does not hold the requested snapshot with the requested placement.
        #[display("snapshot")]
        Snapshot,
        /// The sub-request was cancelled, or its time budget ran out, before it started.
        #[display("expired")]
        Expired,
    }
}

record! {
    /// The body of a target's refusal, sent with status 503 or 409.
    ///
    /// It guarantees that the sub-request was not run, so even a non-idempotent one may be sent again.
    #[derive(Eq)]
    pub struct TargetRefusal {
        /// Why the sub-request was not run.
        pub reason: TargetRefusalReason,
        /// Milliseconds after which the target may take work again.
        #[serde(default)]
        pub retry_after_ms: Option<u64>,
    }
}
