//! What the replicas of a service tolerate while they warm up.

use egret_model::record;

record! {
    /// What a replica tolerates while it warms up, from all hosts together.
    #[derive(Copy)]
    pub struct WarmUp {
        /// Requests per second; a replica that gets many more crashes.
        pub requests_per_s: f64,
        /// Milliseconds from its start until a replica is warm.
        pub duration_ms: u64,
    }
}
