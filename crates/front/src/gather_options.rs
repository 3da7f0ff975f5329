//! What one gather goes by, besides its request and plan.

use std::time::Instant;

/// What one gather goes by, besides its request and plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatherOptions {
    /// Whether another host may have asked targets already.
    pub(crate) is_repeat: bool,
    /// When the answer has to be made.
    pub(crate) answer_at: Instant,
}
