//! What came of one exchange with a target.

use bytes::Bytes;
use derive_more::Display;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};

/// A target's whole answer.
#[derive(Clone, Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) receipt: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// Why a request that was sent has no answer; the target may have run it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LossCause {
    #[display("connection broke")]
    Broken,
    #[display("answer belongs to another request")]
    Foreign,
    #[display("answer is encoded")]
    Encoded,
    #[display("success without a receipt")]
    Unsigned,
    #[display("answer is too large")]
    TooLarge,
}

/// What came of one exchange with a target.
#[derive(Clone, Debug)]
pub(crate) enum ExchangeResult {
    /// The target answered with success and its receipt.
    Success(TargetAnswer),
    /// The target answered with a failure.
    Failure(TargetAnswer),
    /// The target says that it did not run the request.
    NotRun(StatusCode),
    /// Not one byte left this host.
    NotSent,
    /// No usable answer; the request may have run.
    Lost(LossCause),
}
