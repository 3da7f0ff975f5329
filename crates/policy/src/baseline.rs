//! Simple designs to compare with, for benches only.

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error};

/// The delay of a hedge that learns nothing.
pub(crate) const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// A simple design that a bench runs in place of the product's decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Baseline {
    /// The product's own decisions.
    #[default]
    None,
    /// A random free replica, no hedges, no ejection.
    Random,
    /// A hedge after a fixed delay, without a budget.
    FixedHedge,
    /// First in, first out, without classes and without admission.
    Arrival,
    /// Every relay serves its own host's entry, with every target.
    Direct,
}

/// A baseline that does not exist.
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
