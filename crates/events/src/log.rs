//! Log lines for events that are not kept in a journal.

use std::time::Duration;

use crate::Code;

/// Logs an event that changes the process's state, or concerns a request of unknown age.
///
/// `request` is the identifier that the caller gave, or empty if no request is concerned.
pub fn log_event(code: Code, request: &str, detail: &str) {
    log(code, request, None, detail);
}

/// Logs an event of a request of the given age.
///
/// The age counts from the request's arrival at its first host and is passed on with the request,
/// so that the lines of several hosts can be ordered, however far their clocks differ.
pub fn log_request_event(code: Code, request: &str, age: Duration, detail: &str) {
    log(code, request, Some(age.as_secs_f64() * 1000.0), detail);
}

fn log(code: Code, request: &str, age_ms: Option<f64>, detail: &str) {
    let number = code.number();
    let text = code.text();
    if code.is_warning() {
        tracing::warn!(number, request, age_ms, detail, "{text}");
    } else {
        tracing::info!(number, request, age_ms, detail, "{text}");
    }
}
