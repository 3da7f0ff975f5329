//! What a fan-out may do.

use std::time::Duration;

use egret_policy::GatherLimits;

/// What a fan-out may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FanOutOptions {
    pub(crate) limits: GatherLimits,
    /// Whether a request may run again after a copy of it was lost.
    pub(crate) may_retry: bool,
    pub(crate) typical_latency: Duration,
    /// Whether another host may have asked targets already, so that first copies are extra.
    pub(crate) is_repeat: bool,
    /// Whether gatherers of other data centres may be asked for their parts.
    pub(crate) may_use_remote_gatherers: bool,
}
