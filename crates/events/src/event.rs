//! One event of one process.

use std::fmt;

use egret_model::{QueryId, record};

use crate::{Code, Stamp};

record! {
    /// Something that happened, where, and in which causal place.
    #[derive(Eq)]
    pub struct Event {
        /// The place in causal order.
        pub stamp: Stamp,
        /// The process, as `role@host`.
        pub process: String,
        /// The number.
        pub code: Code,
        /// The query that it belongs to.
        pub query: Option<QueryId>,
        /// Details for people.
        pub detail: String,
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:<18} {} {}", self.stamp, self.process, self.code, self.code.text())?;
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        match self.query {
            Some(query) => write!(f, " [{query}]"),
            None => Ok(()),
        }
    }
}
