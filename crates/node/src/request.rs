//! An HTTP request and the failures of reading its body.

use bytes::Bytes;
use derive_more::{Display, Error};

/// An HTTP request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The method in upper case.
    pub method: String,
    /// The path without the query string.
    pub path: String,
    /// The query string, which follows the question mark.
    pub query: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request; `path` may include a query string.
    #[must_use]
    pub fn new(method: &str, path: &str, body: impl Into<Bytes>) -> Self {
        let (path, query) = match path.split_once('?') {
            Some((path, query)) => (path, Some(query.to_owned())),
            None => (path, None),
        };
        Self { method: method.to_owned(), path: path.to_owned(), query, body: body.into() }
    }

    /// Returns a parameter of the query string as it stands there, without percent-decoding.
    #[must_use]
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.as_deref()?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[display("the body is over the limit: send less")]
    TooLarge,
    /// The body did not arrive within the timeout.
    #[display("the body did not arrive in time: send it without pauses")]
    TooSlow,
    /// There is no memory for the body.
    #[display("there is no memory for the body now: send it again later")]
    NoMemory,
    /// The connection broke, or the HTTP framing is invalid.
    #[display("the body is broken: check the connection and the framing")]
    Broken,
}
