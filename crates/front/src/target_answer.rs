//! The result of an exchange with a target.

use bytes::Bytes;
use derive_more::Display;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};

/// A target's complete answer.
#[derive(Clone, Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The target's signature over its answer.
    pub(crate) receipt: Option<HeaderValue>,
    pub(crate) body: Bytes,
    /// The requests that waited at the target as it answered, as a multiple of its slots, if it reports them.
    pub(crate) queued_per_slot: Option<f64>,
}

/// Why a request that was sent has no usable answer; the target may have run it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LossCause {
    #[display("connection broke")]
    Broken,
    /// The answer's identifier is that of another request.
    #[display("answer has another request's identifier")]
    Foreign,
    /// The body has a content encoding, which the system does not pass on.
    #[display("answer has a Content-Encoding")]
    Encoded,
    #[display("answer with success lacks a receipt")]
    Unsigned,
    /// No final response to a request has this status, so that nothing else in the answer can be trusted.
    #[display("answer has an invalid status")]
    InvalidStatus,
    #[display("answer is over a size or memory limit")]
    TooLarge,
}

/// Returns whether a final response to a request may have a status.
///
/// Statuses under 200 are interim responses, or 101, which only answers a request to switch protocols; the
/// system sends none. Those from 600 are invalid (RFC 9110, section 15); some clients of callers cannot read
/// them.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The result of an exchange with a target.
#[derive(Clone, Debug)]
pub(crate) enum ExchangeResult {
    /// The target answered with success and its receipt.
    Success(TargetAnswer),
    /// The target answered with a failure.
    Failure(TargetAnswer),
    /// The target states that it did not run the request.
    NotRun(StatusCode),
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, as the host that sent it to this one has given up.
    Abandoned,
    /// No usable answer; the request may have run.
    Lost(LossCause),
}
