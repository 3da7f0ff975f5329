//! A slot of one replica, held while an attempt runs.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use egret_model::Fingerprint;
use egret_policy::Completion;

use crate::service_state::ServiceState;

/// A slot; dropping it frees it.
#[derive(Debug)]
pub(crate) struct Slot {
    service: Arc<ServiceState>,
    address: SocketAddr,
    unproven: Option<Fingerprint>,
    held: bool,
}

impl Slot {
    pub(crate) fn new(
        service: Arc<ServiceState>,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
    ) -> Self {
        Self { service, address, unproven, held: true }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn service(&self) -> &Arc<ServiceState> {
        &self.service
    }

    /// Tells whether no target had answered the request when the slot was taken.
    pub(crate) fn is_unproven(&self) -> bool {
        self.unproven.is_some()
    }

    /// Frees the slot and tells how the attempt ended.
    pub(crate) fn finish(mut self, finish: Completion) {
        self.free(finish);
    }

    fn free(&mut self, finish: Completion) {
        if std::mem::take(&mut self.held) {
            self.service.finish(now(), self.address, self.unproven, finish);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.free(Completion::Cancelled);
    }
}

/// Returns the time of the runtime's clock, which tests pause and advance.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
