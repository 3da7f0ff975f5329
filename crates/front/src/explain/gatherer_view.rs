//! Another host that takes a request over.

use std::{net::SocketAddr, sync::Arc};

use egret_model::record;

use crate::{core::Core, target::Target};

record! {
    /// Another host that takes a request over.
    pub struct GathererView {
        /// The identifier.
        pub id: Arc<str>,
        /// The data centre.
        pub data_centre: Arc<str>,
        /// Where it explains what it would do, if its settings have the same internal ports as this host's.
        pub explain_at: SocketAddr,
    }
}

impl GathererView {
    pub(super) fn new(core: &Core, gatherer: &Target) -> Self {
        let ip = gatherer.replica.address.ip();
        Self {
            id: gatherer.replica.id.clone(),
            data_centre: gatherer.replica.data_centre.clone(),
            explain_at: SocketAddr::new(ip, core.options.metrics.port()),
        }
    }
}
