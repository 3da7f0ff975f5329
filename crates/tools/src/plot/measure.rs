//! What a plot shows of each row.

use std::str::FromStr;

use derive_more::{Display, Error};

use super::MeasuredRow;

/// One measure of a row.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Measure {
    /// Half of the answers came within this time.
    #[display("p50")]
    P50,
    /// 99 in 100 answers came within this time.
    #[display("p99")]
    P99,
    /// 999 in 1000 answers came within this time.
    #[display("p99.9")]
    P999,
    /// Answers in time as a share of queries.
    #[display("in-time")]
    InTime,
    /// Mean coverage of answers.
    #[display("coverage")]
    Coverage,
    /// Attempts beyond the needed ones, as a share of these.
    #[display("extra")]
    Extra,
}

/// A text that names no measure.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no such measure: give p50, p99, p99.9, in-time, coverage or extra")]
pub struct MeasureError;

impl FromStr for Measure {
    type Err = MeasureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [Self::P50, Self::P99, Self::P999, Self::InTime, Self::Coverage, Self::Extra];
        all.into_iter().find(|measure| measure.to_string() == text).ok_or(MeasureError)
    }
}

impl Measure {
    /// Returns the value of a row.
    #[must_use]
    pub fn value_in(self, row: &MeasuredRow) -> f64 {
        match self {
            Self::P50 => row.p50_ms,
            Self::P99 => row.p99_ms,
            Self::P999 => row.p999_ms,
            Self::InTime => row.in_time,
            Self::Coverage => row.coverage,
            Self::Extra => row.extra,
        }
    }

    /// Returns the title of a plot, with its unit.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::P50 => "half of the answers within, ms",
            Self::P99 => "99 in 100 answers within, ms",
            Self::P999 => "999 in 1000 answers within, ms",
            Self::InTime => "answers in time, share of queries",
            Self::Coverage => "mean coverage of answers",
            Self::Extra => "extra attempts, share of needed ones",
        }
    }
}
