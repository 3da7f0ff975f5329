//! The measure that a plot shows for each row.

use std::str::FromStr;

use derive_more::{Display, Error};

use super::MeasuredRow;

/// A measure that rows have a value for; its text form is the argument of `--measure`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Measure {
    /// The median latency, in milliseconds.
    #[display("p50")]
    P50,
    /// The 99th percentile of latency, in milliseconds: 99 in 100 answers came within it.
    #[display("p99")]
    P99,
    /// The 99.9th percentile of latency, in milliseconds: 999 in 1000 answers came within it.
    #[display("p99.9")]
    P999,
    /// Answers within the time budget, as a fraction of all queries.
    #[display("in-time")]
    InTime,
    /// The mean coverage of answers.
    #[display("coverage")]
    Coverage,
    /// Attempts beyond the needed ones, as a fraction of the needed ones.
    #[display("extra")]
    Extra,
}

/// The error of parsing a text that is not the name of a measure.
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
    /// Returns the value of this measure in a row.
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

    /// Returns the title of a plot of this measure, with the unit.
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
