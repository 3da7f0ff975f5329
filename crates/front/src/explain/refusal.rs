//! The refusal that a caller would get.

use std::time::Duration;

use egret_model::record;
use hyper::StatusCode;

use super::millis;
use crate::answer::RETRY_AFTER_NO_TARGET;

record! {
    /// The refusal that a caller would get, before any target got the request.
    pub struct Refusal {
        /// The HTTP status.
        pub status: u16,
        /// The `Retry-After` in milliseconds, without its random part.
        pub retry_after_ms: Option<f64>,
        /// Why, for people.
        pub reason: String,
    }
}

impl Refusal {
    pub(super) fn new(status: StatusCode, retry_after: Option<Duration>, reason: impl Into<String>) -> Self {
        Self { status: status.as_u16(), retry_after_ms: retry_after.map(millis), reason: reason.into() }
    }

    pub(super) fn unavailable(retry_after: Duration, reason: impl Into<String>) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after), reason)
    }

    /// Refuses for lack of a target; `backoff_left` is the time until one accepts requests, if that is known.
    pub(super) fn no_target(backoff_left: Option<Duration>) -> Self {
        let after = backoff_left.unwrap_or(Duration::from_secs_f64(RETRY_AFTER_NO_TARGET));
        Self::unavailable(after, "no target has room or can be reached")
    }
}
