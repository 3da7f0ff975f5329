//! The description of one host that hosts gossip.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

use crate::{COMPACT_LAYOUT, MemberState};

record! {
    /// One run of one host, as other hosts see it.
    #[derive(Eq)]
    pub struct Member {
        /// The address on which it receives gossip; identifies the host.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: Arc<str>,
        /// Orders the versions of this description; only the host itself raises it.
        pub incarnation: u64,
        /// Whether it is live, as far as the sender knows.
        #[serde(rename = "standing")]
        pub state: MemberState,
        /// Whether the platform's store answered its last call; a host that has not called yet
        /// assumes so.
        #[serde(rename = "reads_store")]
        pub store_reachable: bool,
        /// Processor time that the host may use, in thousandths of a core.
        pub millicores: u32,
        /// Requests for parts of gathers that it sends to targets per second; a coarse average.
        pub parts_per_s: u32,
        /// The [`COMPACT_LAYOUT`] of its build; 0 for builds that do not state it.
        #[serde(default)]
        pub layout: u32,
        /// Whether it reaches any target; builds that do not state it count as if they did.
        #[serde(default = "reaches_targets_by_default")]
        pub reaches_targets: bool,
    }
}

fn reaches_targets_by_default() -> bool {
    true
}

impl Member {
    /// Creates the description of a host of this build that just started.
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
            layout: COMPACT_LAYOUT,
            reaches_targets: true,
        }
    }

    /// Returns whether the host reads messages of this build that have no field names.
    #[must_use]
    pub fn reads_compact(&self) -> bool {
        self.layout == COMPACT_LAYOUT
    }

    /// Returns whether this description replaces another one of the same host.
    pub(crate) fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
