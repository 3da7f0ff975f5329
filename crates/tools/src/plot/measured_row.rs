//! A row of measured values, as `scripts/bench --out` writes it.

use serde::Deserialize;

/// The fields of a row that plots use; other fields are ignored, and missing ones are 0 or empty.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct MeasuredRow {
    /// The name of the measured case.
    pub case: String,
    /// The variant of the case: the product, or the baseline that it is compared with.
    pub variant: String,
    /// Answers within the time budget, as a fraction of all queries.
    pub in_time: f64,
    /// The median latency, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of latency, in milliseconds: 99 in 100 answers came within it.
    pub p99_ms: f64,
    /// The 99.9th percentile of latency, in milliseconds: 999 in 1000 answers came within it.
    pub p999_ms: f64,
    /// The mean coverage of answers.
    pub coverage: f64,
    /// Attempts beyond the needed ones, as a fraction of the needed ones.
    pub extra: f64,
}

impl MeasuredRow {
    /// Returns whether the row measures the product rather than a baseline.
    #[must_use]
    pub fn is_product(&self) -> bool {
        self.variant.starts_with("egretcross") || self.variant.starts_with("tier")
    }
}
