//! The limits on callers' requests and connections.

use egret_model::record;

record! {
    /// Limits on callers' requests and connections.
    #[derive(Copy, Eq)]
    pub struct CallerLimits {
        /// The maximum size of a request's headers, in bytes.
        pub header_bytes: usize,
        /// The maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// Milliseconds within which the headers must arrive.
        pub header_timeout_ms: u64,
        /// Milliseconds for which a connection may stay idle.
        pub idle_timeout_ms: u64,
    }
}

impl Default for CallerLimits {
    /// Returns the limits in force until the first configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}
