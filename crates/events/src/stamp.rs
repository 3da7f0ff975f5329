//! A point in causal order.

use std::fmt;

use egret_model::record;

record! {
    /// A hybrid logical timestamp: wall-clock microseconds and a counter.
    ///
    /// The order of stamps agrees with cause and effect; the microseconds only
    /// make the line readable.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct Stamp {
        /// Microseconds since the Unix epoch, at least those of every observed stamp.
        pub micros: u64,
        /// Orders stamps of the same microsecond.
        pub counter: u32,
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}+{}", self.micros / 1_000_000, self.micros % 1_000_000, self.counter)
    }
}
