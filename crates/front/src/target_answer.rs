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
    #[display("answer is over a size or memory limit")]
    TooLarge,
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
    /// No usable answer; the request may have run.
    Lost(LossCause),
}
