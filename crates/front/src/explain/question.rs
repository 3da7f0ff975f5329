//! The request that is to be explained.

use std::{fmt::Write, str::FromStr, time::Duration};

use bytes::Bytes;
use egret_model::record;
use egret_node::HttpRequest;
use hyper::{HeaderMap, Method, Uri, header::HeaderValue};
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use super::QuestionError;
use crate::{
    caller_request::{CallerRequest, DEADLINE_DEFAULT, fingerprint_of},
    clock::now,
    sent_to::SentTo,
};

record! {
    /// The request that is to be explained.
    pub struct Question {
        /// The host name that the caller would send.
        pub host: String,
        /// The path, with the query if there is one.
        pub path: String,
        /// The method.
        pub method: String,
        /// The size of the body.
        pub body_bytes: usize,
        /// The time budget that the caller would state, in milliseconds.
        pub budget_ms: Option<u64>,
    }
}

impl Question {
    /// Returns the query string that asks this question.
    #[must_use]
    pub fn to_query(&self) -> String {
        let encode = |text| utf8_percent_encode(text, NON_ALPHANUMERIC);
        let mut query = format!(
            "host={}&path={}&method={}&body_bytes={}",
            encode(&self.host),
            encode(&self.path),
            encode(&self.method),
            self.body_bytes
        );
        if let Some(budget_ms) = self.budget_ms {
            // Writing to a string cannot fail.
            let _ = write!(query, "&budget_ms={budget_ms}");
        }
        query
    }

    pub(super) fn parse(call: &HttpRequest) -> Result<Self, QuestionError> {
        let text = |name| {
            let value = call.query_parameter(name);
            value.map(|value| percent_decode_str(value).decode_utf8_lossy().into_owned())
        };
        Ok(Self {
            host: text("host").ok_or(QuestionError::Missing { name: "host" })?,
            path: text("path").ok_or(QuestionError::Missing { name: "path" })?,
            method: text("method").unwrap_or_else(|| "GET".to_owned()),
            body_bytes: number(text("body_bytes"), "body_bytes")?.unwrap_or(0),
            budget_ms: number(text("budget_ms"), "budget_ms")?,
        })
    }

    /// Returns the request as its caller would send it on a connection that is already open, with a body of zeros.
    pub(super) fn to_request(&self, body: Bytes) -> Result<CallerRequest, QuestionError> {
        let error = || QuestionError::InvalidPath { path: self.path.clone() };
        let uri = Uri::from_str(&self.path).ok().filter(|_| self.path.starts_with('/')).ok_or_else(error)?;
        let invalid = |_| QuestionError::Invalid { name: "method", expected: "an HTTP method such as GET" };
        let method = Method::from_str(&self.method).map_err(invalid)?;
        let name = self.host.rsplit_once(':').map_or(&*self.host, |(name, _)| name);
        Ok(CallerRequest {
            id: HeaderValue::from_static("explain"),
            method,
            fingerprint: fingerprint_of(&uri, &body),
            uri,
            host: name.to_ascii_lowercase(),
            headers: HeaderMap::new(),
            body,
            arrived_at: now(),
            is_new_connection: false,
            deadline: self.budget_ms.map_or(DEADLINE_DEFAULT, Duration::from_millis),
            sent_to: SentTo::default(),
            homes: Default::default(),
            sender: None,
        })
    }
}

fn number<T: FromStr>(text: Option<String>, name: &'static str) -> Result<Option<T>, QuestionError> {
    let invalid = |_| QuestionError::Invalid { name, expected: "a whole number" };
    text.map(|text| text.parse().map_err(invalid)).transpose()
}
