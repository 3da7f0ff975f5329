//! Log lines for decisions.

use std::time::Duration;

use crate::Code;

/// Logs a decision that changes what the process believes, or touches a request that has no
/// identifier yet.
///
/// `request` is the caller's identifier, or empty where no request is concerned.
pub fn log_event(code: Code, request: &str, detail: &str) {
    log(code, request, None, detail);
}

/// Logs a decision that touches a request of this age.
///
/// The age counts from the request's arrival at its first host and is told along with it, so
/// that the lines of several hosts have one order, however wrong their clocks are.
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
