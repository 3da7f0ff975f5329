//! Parsing of `Retry-After`: how long a target asks for no requests.

use std::time::Duration;

use hyper::{HeaderMap, header::RETRY_AFTER};

/// Returns the longest time that an answer's `Retry-After` headers state.
///
/// Seconds may have fractions. Dates are ignored, as hosts' clocks may be wrong, and so are all
/// other values that are no number of seconds.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(RETRY_AFTER).iter().filter_map(|value| value.to_str().ok());
    let secs = values.flat_map(|value| value.split(',')).filter_map(|item| item.trim().parse::<f64>().ok());
    let times = secs.filter(|secs| *secs > 0.0).filter_map(|secs| Duration::try_from_secs_f64(secs).ok());
    times.max()
}
