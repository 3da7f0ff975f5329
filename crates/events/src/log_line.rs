//! Parsing the logs of several hosts into the timeline of a request.

use std::fmt;

use serde::Deserialize;

/// One event in a host's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The host that wrote the line.
    pub host: String,
    /// The event's number in docs/EVENTS.md.
    pub number: u16,
    /// The request's identifier; empty if no request is concerned.
    pub request: String,
    /// Milliseconds since the request arrived at its first host, if known.
    pub age_ms: Option<f64>,
    /// The event's short text.
    pub message: String,
    /// The event's details.
    pub detail: String,
}

#[derive(Deserialize)]
struct Fields {
    number: u16,
    request: String,
    age_ms: Option<f64>,
    message: String,
    detail: String,
}

impl LogLine {
    /// Parses a line of `host`'s log; returns `None` if it is not an event.
    ///
    /// A log collector's prefix before the JSON object is read as a time and a host, and that host
    /// replaces `host`.
    #[must_use]
    pub fn parse(host: &str, line: &str) -> Option<Self> {
        let (prefix, object) = line.split_at(line.find('{')?);
        let fields: Fields = serde_json::from_str(object).ok()?;
        let host = prefix.split_whitespace().nth(1).unwrap_or(host).to_owned();
        let Fields { number, request, age_ms, message, detail } = fields;
        Some(Self { host, number, request, age_ms, message, detail })
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.age_ms {
            Some(age_ms) => write!(f, "{age_ms:9.1} ms")?,
            None => write!(f, "{:>12}", "-")?,
        }
        write!(f, "  {}  E{} {}: {}", self.host, self.number, self.message, self.detail)
    }
}

/// Returns the lines of one request from all hosts, ordered by the request's age.
///
/// Lines without an age come last; the check whether a target crashed writes them. Wall clocks
/// are not used, since those of different hosts may differ by seconds.
#[must_use]
pub fn request_timeline(request: &str, lines: impl IntoIterator<Item = LogLine>) -> Vec<LogLine> {
    let mut timeline: Vec<LogLine> = lines.into_iter().filter(|line| line.request == request).collect();
    let age = |line: &LogLine| line.age_ms.unwrap_or(f64::INFINITY);
    timeline.sort_by(|a, b| age(a).total_cmp(&age(b)));
    timeline
}
