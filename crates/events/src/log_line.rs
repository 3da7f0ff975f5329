//! Log lines of several hosts, read back.

use std::fmt;

use serde::Deserialize;

/// One line of a host's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The host.
    pub host: String,
    /// The event's number in docs/EVENTS.md.
    pub number: u16,
    /// The request's identifier; empty where none is concerned.
    pub request: String,
    /// Milliseconds since the request arrived at its first host.
    pub age_ms: Option<f64>,
    /// The event in words.
    pub message: String,
    /// What decided.
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
    /// Reads a line of `host`'s log; returns nothing for lines of other forms.
    ///
    /// Words before the line's JSON object are taken as a collector's time and host.
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

/// Returns the lines of one request over all hosts, in the order of the request's age.
///
/// Lines without an age, of the check whether a target crashed, come last. Wall clocks play
/// no part, since those of hosts may disagree by seconds.
#[must_use]
pub fn request_timeline(request: &str, lines: impl IntoIterator<Item = LogLine>) -> Vec<LogLine> {
    let mut story: Vec<LogLine> = lines.into_iter().filter(|line| line.request == request).collect();
    let age = |line: &LogLine| line.age_ms.unwrap_or(f64::INFINITY);
    story.sort_by(|a, b| age(a).total_cmp(&age(b)));
    story
}
