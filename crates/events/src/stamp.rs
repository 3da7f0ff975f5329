//! The timestamp of events and messages.

use std::fmt;

use egret_model::record;

record! {
    /// A hybrid logical timestamp: wall-clock microseconds and a counter.
    ///
    /// The order of stamps agrees with cause and effect. The microseconds only
    /// relate it to wall-clock time for readers.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct Stamp {
        /// Microseconds since the Unix epoch; never less than in any stamp observed before.
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
