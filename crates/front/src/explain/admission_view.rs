//! The admission of gathers over one index.

use egret_model::record;

use super::AdmissionVerdict;

record! {
    /// The admission of gathers over one index on this host.
    pub struct AdmissionView {
        /// The limit on the gathers in flight.
        pub limit: f64,
        /// The gathers in flight.
        pub in_flight: usize,
        /// The gathers that wait.
        pub queued: usize,
        /// What would happen to the request.
        pub verdict: AdmissionVerdict,
        /// How long it would wait at most, in milliseconds.
        pub wait_max_ms: Option<f64>,
    }
}
