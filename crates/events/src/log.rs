//! One log line for one decision.

use crate::Code;

/// Logs a decision that touches a request or changes what the process believes.
///
/// `request` is the caller's identifier, or empty where no request is concerned.
pub fn log_decision(code: Code, request: &str, detail: &str) {
    let number = code.number();
    let text = code.text();
    if code.is_warning() {
        tracing::warn!(number, request, detail, "{text}");
    } else {
        tracing::info!(number, request, detail, "{text}");
    }
}
