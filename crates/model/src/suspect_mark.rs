//! The mark of a request that is suspected of crashing targets.

use crate::Fingerprint;

record! {
    /// Marks a request that broke connections to targets while they executed it.
    ///
    /// Processes pass marks on to each other. A mark carries its remaining
    /// lifetime, so that passing it on never extends it. Zero breaks say that a target answered the
    /// request since; builds that do not know that ignore such a mark.
    #[derive(Copy, Eq)]
    pub struct SuspectMark {
        /// The request's fingerprint.
        pub fingerprint: Fingerprint,
        /// The number of connections that broke.
        pub breaks: u8,
        /// Milliseconds until the breaks no longer count against the request.
        #[serde(rename = "lasts_ms")]
        pub expires_in_ms: u32,
        /// Milliseconds for which the request must not be sent to the last live replica.
        pub suspect_ms: u32,
    }
}
