//! The order among queries that compete for a start.

/// Whether a query's caller was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnState {
    /// It was refused and returns when it was told to.
    AsTold,
    /// It was not refused.
    New,
    /// It was refused and returns earlier, or could not be told a time at which there would be capacity.
    Unpromised,
}

/// The place of a query among those that compete for a start; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryRank {
    /// The priority of its route; 0 is the highest.
    pub priority: u32,
    /// Whether its caller was refused before.
    pub returning: ReturnState,
}
