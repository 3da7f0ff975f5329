//! Slots of replicas, one of which each attempt holds while it runs.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use egret_model::Fingerprint;
use egret_policy::Completion;

use crate::service_state::ServiceState;

/// A slot of a replica; a drop frees it and counts the attempt as cancelled.
#[derive(Debug)]
pub(crate) struct Slot {
    service: Arc<ServiceState>,
    address: SocketAddr,
    unproven: Option<Fingerprint>,
    is_held: bool,
}

impl Slot {
    pub(crate) fn new(
        service: Arc<ServiceState>,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
    ) -> Self {
        Self { service, address, unproven, is_held: true }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn service(&self) -> &Arc<ServiceState> {
        &self.service
    }

    /// Tells whether no target had recently answered the request when the slot was taken.
    pub(crate) fn is_unproven(&self) -> bool {
        self.unproven.is_some()
    }

    /// Frees the slot and records how the attempt ended.
    pub(crate) fn finish(mut self, completion: Completion) {
        self.free(completion);
    }

    fn free(&mut self, completion: Completion) {
        if std::mem::take(&mut self.is_held) {
            self.service.finish(now(), self.address, self.unproven, completion);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.free(Completion::Cancelled);
    }
}

/// Returns the time of the runtime's clock, which tests can pause and advance.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
