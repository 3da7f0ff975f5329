//! The limits and permissions of a fan-out.

use std::time::Duration;

use egret_policy::GatherLimits;

use crate::request_work::RequestWork;

/// The limits and permissions of a fan-out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FanOutOptions {
    pub(crate) limits: GatherLimits,
    /// Whether the request may be sent again after an attempt that a target may have run.
    pub(crate) may_retry: bool,
    /// The route's typical latency of an exchange with a target.
    pub(crate) typical_latency: Duration,
    /// The work of a request that needs one target; `None` for gathers.
    pub(crate) work: Option<RequestWork>,
    /// Whether another host may have sent the request to targets already, so that first attempts
    /// spend retry budget, too.
    pub(crate) is_repeat: bool,
    /// Whether other gatherers may be asked for parts.
    pub(crate) may_use_remote_gatherers: bool,
    /// Whether gatherers of the own data centre may be asked for a share of the parts, which takes processor time.
    pub(crate) may_spread: bool,
}
