//! Why a plot cannot be drawn.

use derive_more::{Display, Error};

use super::Measure;

/// A plot that cannot be drawn; the message names the remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlotError {
    /// There is no row, or no row has a value of this measure.
    #[display("no row has a value for {measure}: give another measure, or rows of a case that has one")]
    NoValue {
        /// The measure.
        measure: Measure,
    },
    /// The library failed.
    #[display("the plot cannot be drawn ({reason}): give fewer rows")]
    Drawing {
        /// What the library says.
        reason: String,
    },
}
