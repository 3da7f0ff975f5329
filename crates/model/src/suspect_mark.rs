//! What processes tell each other of a request that broke targets.

use crate::Fingerprint;

record! {
    /// A request that broke connections to targets while they ran it.
    ///
    /// It carries the time that it still lasts, so that telling it again never
    /// makes it last longer.
    #[derive(Copy, Eq)]
    pub struct SuspectMark {
        /// The request's fingerprint.
        pub fingerprint: Fingerprint,
        /// Connections that broke.
        pub breaks: u8,
        /// Milliseconds for which the breaks are held against the request.
        #[serde(rename = "lasts_ms")]
        pub expires_in_ms: u32,
        /// Milliseconds for which it must not reach the last live replica.
        pub suspect_ms: u32,
    }
}
