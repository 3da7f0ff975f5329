//! A request that broke targets, told among the relays of a block.

use egret_model::{Fingerprint, record};

record! {
    /// A fingerprint and the connections that it broke.
    #[derive(Eq)]
    pub struct Mark {
        /// The request's fingerprint.
        pub fingerprint: Fingerprint,
        /// Connections that broke while a target ran it.
        pub breaks: u8,
    }
}
