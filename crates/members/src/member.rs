//! One host, as hosts tell each other of it.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

use crate::MemberState;

record! {
    /// One run of one host.
    #[derive(Eq)]
    pub struct Member {
        /// Where it takes messages of other hosts.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: Arc<str>,
        /// Orders what is said of the host; only the host itself raises it.
        pub incarnation: u64,
        /// What is believed of it.
        #[serde(rename = "standing")]
        pub state: MemberState,
        /// Whether the platform's store answers it, as far as it knows.
        #[serde(rename = "reads_store")]
        pub store_reachable: bool,
        /// Processor time that it may use, in thousandths of a core.
        pub millicores: u32,
        /// Parts of gathers that it asks targets for, a second; a rough figure.
        pub parts_per_s: u32,
    }
}

impl Member {
    /// Creates a member that just started.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: impl Into<Arc<str>>, incarnation: u64) -> Self {
        Self {
            address,
            data_centre: data_centre.into(),
            incarnation,
            state: MemberState::Live,
            store_reachable: true,
            millicores: 0,
            parts_per_s: 0,
        }
    }

    pub(crate) fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
