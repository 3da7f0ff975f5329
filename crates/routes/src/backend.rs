//! Where a route's requests go.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{GatherPlan, WeightedService};

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Backend {
    /// To one replica of one service.
    One(Arc<str>),
    /// To one replica of one of several services, drawn by weight.
    Split(Vec<WeightedService>),
    /// To one replica of each of many shards.
    Gather(GatherPlan),
}
