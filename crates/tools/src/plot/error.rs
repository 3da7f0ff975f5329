//! The error of drawing a plot.

use derive_more::{Display, Error};

use super::Measure;

/// The reason why a plot cannot be drawn; the message names a remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlotError {
    /// There is no row, or no row has a value above 0 for this measure.
    #[display("no row has a value for {measure}: give another measure, or rows of a case that has one")]
    NoValue {
        /// The measure that was to be drawn.
        measure: Measure,
    },
    /// The drawing library failed.
    #[display("the plot cannot be drawn ({reason}): give fewer rows")]
    Drawing {
        /// The library's message.
        reason: String,
    },
}
