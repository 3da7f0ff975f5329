//! How a service serves one class of work.

use egret_model::{ClassName, record};

record! {
    /// What to do when the minimum coverage cannot be reached.
    #[derive(Default)]
    pub enum BelowMinimum {
        /// Answer with what is covered, and say so.
        Partial,
        /// Refuse, because a partial answer is worth nothing to the caller.
        #[default]
        Refuse,
    }
}

record! {
    /// The terms of one class of work.
    pub struct Class {
        /// The class's name.
        pub name: ClassName,
        /// The place in the order of classes; 1 is served first.
        pub rank: u8,
        /// The time budget of a query that names none, in milliseconds.
        pub time_budget_ms: u32,
        /// The least share of shards that makes an answer, from 0 to 1.
        pub min_coverage: f64,
        /// What happens below that share.
        #[serde(default)]
        pub below_minimum: BelowMinimum,
    }
}
