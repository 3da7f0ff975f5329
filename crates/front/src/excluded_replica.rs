//! A replica that the registry lists and that gets no requests.

use egret_routes::Replica;

/// A replica that the registry lists and that gets no requests.
#[derive(Clone, Debug)]
pub(crate) struct ExcludedReplica {
    pub(crate) replica: Replica,
    /// Whether its data centre is evacuated; otherwise the replica leaves, or a restored store lists it although it was
    /// deleted before.
    pub(crate) is_evacuated: bool,
}
