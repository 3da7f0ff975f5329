//! The services that serve a route.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{GatherPlan, WeightedService};

/// The services that serve a route, and how its requests are spread over them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Backend {
    /// Each request goes to one replica of this service.
    One(Arc<str>),
    /// Each request goes to one replica of a service drawn at random by weight.
    Split(Vec<WeightedService>),
    /// Each request is scattered to one replica of every shard, and the parts are merged.
    Gather(GatherPlan),
}
