//! The HTTP headers that have a meaning between callers, this system and targets.

use hyper::header::{self, HeaderMap, HeaderName};

/// The names of the headers; they depend on the platform, whose adapter provides them.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identifier of one attempt of a caller; targets return it with their answer.
    pub request_id: HeaderName,
    /// How long the sender waits for an answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// A target's signature over its answer, called a receipt in this code.
    pub receipt: HeaderName,
    /// The identifier of the replica that the request is sent to; another one must not run it.
    pub expected_target: HeaderName,
    /// A target's load: its running requests, waiting requests and slots, separated by commas.
    pub load: HeaderName,
    /// States with the value 1 that the target is about to leave.
    pub leaving: HeaderName,
    /// The requests per second that the target takes from all hosts together, as a decimal number.
    pub request_limit: HeaderName,
    /// States that the target did not run the request.
    pub not_run: HeaderName,
    /// The receipts of the parts of a gathered answer.
    pub part_receipts: HeaderName,
    /// The number of shards that are missing from a gathered answer.
    pub missing_parts: HeaderName,
    /// The name of the client account that sends the request.
    pub caller: HeaderName,
}

/// Hop-by-hop headers: they concern one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, and those that `Connection` names.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
