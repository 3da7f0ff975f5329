//! The headers that callers, targets and this system exchange.

use hyper::header::{self, HeaderMap, HeaderName};

/// The names of the headers, which the platform's adapter gives.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identifier of one attempt of a caller; targets echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits.
    pub deadline_ms: HeaderName,
    /// A target's signature under its answer.
    pub receipt: HeaderName,
    /// The replica that the request is meant for; others must not run it.
    pub expected_target: HeaderName,
    /// A target's running requests, waiting requests and slots.
    pub load: HeaderName,
    /// Says that the target leaves.
    pub leaving: HeaderName,
    /// Says that a target did not run the request.
    pub not_run: HeaderName,
    /// The receipts of the parts of an answer.
    pub part_receipts: HeaderName,
    /// The number of shards that an answer lacks.
    pub missing_parts: HeaderName,
}

/// Headers that concern one connection only.
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

/// Removes the headers that concern one connection only, and those that `Connection` names.
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
