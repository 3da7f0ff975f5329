//! The settings of one class of work of a service.

use egret_model::{ClassName, record};

record! {
    /// What to do if an answer cannot reach the minimum coverage.
    #[derive(Default)]
    pub enum BelowMinimum {
        /// Return a partial answer that states its coverage.
        Partial,
        /// Refuse the query, because a partial answer is useless to the caller.
        #[default]
        Refuse,
    }
}

record! {
    /// How a service treats the queries of one class of work.
    pub struct Class {
        /// The class's name.
        pub name: ClassName,
        /// The rank among classes; 1 is served first.
        pub rank: u8,
        /// The time budget of a query that specifies none, in milliseconds.
        pub time_budget_ms: u32,
        /// The minimum share of shards that an answer must cover, from 0 to 1.
        pub min_coverage: f64,
        /// What to do below that share.
        #[serde(default)]
        pub below_minimum: BelowMinimum,
    }
}
