//! A change of the evacuation of one data centre.

use std::sync::Arc;

use crate::StorePosition;

/// The operator's order to evacuate a data centre, or its withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The position of the change in the store's history.
    pub position: StorePosition,
    /// Whether the data centre is evacuated from then on.
    pub is_evacuated: bool,
}
