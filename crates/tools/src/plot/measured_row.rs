//! One measured row, as `scripts/bench --out` writes it.

use serde::Deserialize;

/// What a plot needs of a row; further fields are passed over.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct MeasuredRow {
    /// The case.
    pub case: String,
    /// The variant of the case.
    pub variant: String,
    /// Answers in time as a share of queries.
    pub in_time: f64,
    /// Milliseconds, half of the answers.
    pub p50_ms: f64,
    /// Milliseconds, 99 in 100 answers.
    pub p99_ms: f64,
    /// Milliseconds, 999 in 1000 answers.
    pub p999_ms: f64,
    /// Mean coverage.
    pub coverage: f64,
    /// Attempts beyond the needed ones, as a share of these.
    pub extra: f64,
}

impl MeasuredRow {
    /// Tells whether the row is the product's own, rather than a baseline's.
    #[must_use]
    pub fn is_product(&self) -> bool {
        self.variant.starts_with("egretcross") || self.variant.starts_with("tier")
    }
}
