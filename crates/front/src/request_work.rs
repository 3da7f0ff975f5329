//! What a request that needs one target is expected to cost it.

use std::time::Duration;

/// What a request that needs one target is expected to cost it, and by when it is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestWork {
    /// The expected service time of this request.
    pub(crate) cost: Duration,
    /// The mean service time of the requests of its route.
    pub(crate) mean_cost: Duration,
    /// Whether that mean was learned from answers.
    pub(crate) is_cost_known: bool,
    /// The route's latency objective.
    pub(crate) objective: Duration,
    /// Whether its caller spent the whole objective on earlier attempts, so that every answer is late.
    pub(crate) is_late: bool,
}
