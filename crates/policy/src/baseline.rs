//! Simpler designs that benches run for comparison.

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error};

/// The hedge delay of [`Baseline::FixedHedge`], which does not adapt to latencies.
pub(crate) const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// A simpler design that a bench runs in place of the product's decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Baseline {
    /// The product's own decisions.
    #[default]
    None,
    /// A random free replica, no hedges, no ejection.
    Random,
    /// A hedge after a fixed delay, without a budget.
    FixedHedge,
    /// First in, first out, without classes and without admission control.
    Arrival,
    /// Every relay connects to every target and serves the entry of its own host.
    Direct,
}

/// The error for the name of a baseline that does not exist.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("expected none, random, fixed-hedge, arrival or direct")]
pub struct BaselineError;

impl FromStr for Baseline {
    type Err = BaselineError;

    fn from_str(text: &str) -> Result<Self, BaselineError> {
        match text {
            "none" => Ok(Self::None),
            "random" => Ok(Self::Random),
            "fixed-hedge" => Ok(Self::FixedHedge),
            "arrival" => Ok(Self::Arrival),
            "direct" => Ok(Self::Direct),
            _ => Err(BaselineError),
        }
    }
}
