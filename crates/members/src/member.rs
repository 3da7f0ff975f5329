//! One host, as hosts tell each other of it.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

record! {
    /// One run of one host.
    #[derive(Eq)]
    pub struct Member {
        /// Where it takes messages of other hosts.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: Arc<str>,
        /// The run; a later one is greater.
        pub incarnation: u64,
        /// Advanced by the host itself while it runs.
        pub beat: u64,
        /// Whether it shuts down.
        pub leaving: bool,
    }
}

impl Member {
    /// Creates a member that just started.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: impl Into<Arc<str>>, incarnation: u64) -> Self {
        Self { address, data_centre: data_centre.into(), incarnation, beat: 0, leaving: false }
    }

    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }
}
