//! Headers of requests and answers in messages between hosts.

use bytes::Bytes;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};

/// Returns the names and values of headers, in order.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let named = headers.iter();
    named.map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))).collect()
}

/// Returns the headers with these names and values; `None` if one of them is not valid.
pub(crate) fn decode_headers(named: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(named.len());
    for (name, value) in named {
        headers.append(name.parse::<HeaderName>().ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
