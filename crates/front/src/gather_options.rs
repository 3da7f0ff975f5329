//! The options of a gather.

use std::time::Instant;

/// The options of a gather, besides its request and plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatherOptions {
    /// Whether another host may have sent the request to targets already.
    pub(crate) is_repeat: bool,
    /// When the answer must be ready, for its caller to receive it by the latency objective.
    pub(crate) answer_at: Instant,
}
