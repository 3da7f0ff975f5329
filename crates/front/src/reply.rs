//! The HTTP responses that callers get.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
};

use crate::{
    caller_request::{CallerRequest, RequestReadError},
    header_names::{HeaderNames, remove_hop_by_hop},
    target_answer::TargetAnswer,
};

/// The mean `Retry-After` of a request for whose body there was no memory, in seconds. It is randomised by
/// two fifths, so that callers that were refused together do not retry together.
const RETRY_AFTER_NO_MEMORY: f64 = 0.5;

/// The HTTP response that a caller gets.
pub(crate) type CallerReply = Response<Full<Bytes>>;

/// When an answer was due. It is attached to the response until that is written, to measure how
/// late this host sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueAt(pub(crate) Instant);

/// Builds the response that passes on a target's answer: status, receipt and body are unchanged.
pub(crate) fn relayed(answer: TargetAnswer, names: &HeaderNames) -> CallerReply {
    let mut headers = answer.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove(&names.load);
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = headers;
    reply
}

/// Builds the response of a gather, whose body is the merged records.
pub(crate) fn gathered(
    req: &CallerRequest,
    names: &HeaderNames,
    receipts: &[HeaderValue],
    missing: usize,
    body: Bytes,
) -> CallerReply {
    let mut headers = HeaderMap::new();
    headers.insert(names.request_id.clone(), req.id.clone());
    let joined: Vec<&[u8]> = receipts.iter().map(HeaderValue::as_bytes).collect();
    if let Ok(value) = HeaderValue::from_bytes(&joined.join(&b", "[..])) {
        headers.insert(names.part_receipts.clone(), value);
    }
    headers.insert(names.missing_parts.clone(), HeaderValue::from(missing));
    let mut reply = Response::new(Full::new(body));
    *reply.headers_mut() = headers;
    reply
}

/// Builds a failure that this system decided, not a target.
///
/// `retry_after` is in seconds. The statuses 429 and 503 promise that no target ran the request.
pub(crate) fn refused(status: StatusCode, reason: &str, retry_after: Option<f64>) -> CallerReply {
    let mut reply = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *reply.status_mut() = status;
    if let Some(value) = retry_after.and_then(|secs| HeaderValue::from_str(&format!("{secs:.2}")).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Builds the failure of a request that could not be read; it closes the connection.
pub(crate) fn unreadable(error: RequestReadError) -> CallerReply {
    let (status, reason) = match error {
        RequestReadError::NoMemory => {
            (StatusCode::SERVICE_UNAVAILABLE, "there is no memory for the body now: come back later")
        }
        RequestReadError::NoId => (StatusCode::BAD_REQUEST, "the request has no identifier: send one"),
        RequestReadError::NoHost => (StatusCode::BAD_REQUEST, "the request names no host: send Host"),
        RequestReadError::Framing => {
            (StatusCode::BAD_REQUEST, "the request's length is ambiguous: state it once")
        }
        RequestReadError::BodyTooLarge => {
            (StatusCode::PAYLOAD_TOO_LARGE, "the body is over the limit: send less")
        }
        RequestReadError::BodyTooSlow => {
            (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time: send it again")
        }
        RequestReadError::BodyBroken => (StatusCode::BAD_REQUEST, "the body broke off: send it again"),
    };
    let retry_after =
        (error == RequestReadError::NoMemory).then(|| RETRY_AFTER_NO_MEMORY * (0.6 + 0.8 * fastrand::f64()));
    let mut reply = refused(status, reason, retry_after);
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}
