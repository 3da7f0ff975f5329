//! The response of a daemon to an HTTP request.

use bytes::Bytes;
use serde::Serialize;

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'static str,
    /// The value of the Retry-After header, in seconds.
    pub retry_after_secs: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Creates a reply with a plain-text body.
    #[must_use]
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body.into().into_bytes())
    }

    /// Creates a reply with a JSON body.
    ///
    /// # Panics
    /// Never: all bodies of this project can be written as JSON.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        Self::new(
            status,
            "application/json",
            serde_json::to_vec(body).expect("bodies can be written as JSON"),
        )
    }

    /// Creates a reply with a MessagePack body with field names.
    #[must_use]
    pub fn msgpack(body: &impl Serialize) -> Self {
        Self::new(200, "application/msgpack", egret_wire::encode(body))
    }

    /// Creates a reply with a MessagePack body without field names.
    #[must_use]
    pub fn msgpack_compact(body: &impl Serialize) -> Self {
        Self::new(200, "application/msgpack", egret_wire::encode_compact(body))
    }

    /// Creates the reply for a path that is not served.
    #[must_use]
    pub fn not_found() -> Self {
        Self::text(404, "not found: see docs/API.md for the paths\n")
    }

    /// Sets the Retry-After header, rounded up to whole seconds and at least 1.
    #[must_use]
    pub fn retry_after_ms(mut self, after: Option<u64>) -> Self {
        self.retry_after_secs = after.map(|ms| ms.div_ceil(1000).max(1));
        self
    }

    fn new(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self { status, content_type, retry_after_secs: None, body: body.into() }
    }
}
