//! A received HTTP request.

use bytes::Bytes;
use derive_more::{Display, Error};

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The method, in capitals.
    pub method: String,
    /// The path.
    pub path: String,
    /// The text behind the question mark.
    pub query: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request to a path, which may end with a question mark and parameters.
    #[must_use]
    pub fn new(method: &str, path: &str, body: impl Into<Bytes>) -> Self {
        let (path, query) = match path.split_once('?') {
            Some((path, query)) => (path, Some(query.to_owned())),
            None => (path, None),
        };
        Self { method: method.to_owned(), path: path.to_owned(), query, body: body.into() }
    }

    /// Returns a parameter of the query text.
    #[must_use]
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.as_deref()?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Why the body of a request could not be taken.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is over the limit.
    #[display("the body is over the limit: send less")]
    TooLarge,
    /// It did not arrive in time.
    #[display("the body did not arrive in time: send it without pauses")]
    TooSlow,
    /// The connection broke or the framing is wrong.
    #[display("the body is broken: check the connection and the framing")]
    Broken,
}
