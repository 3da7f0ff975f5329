//! One event of one process.

use std::fmt;

use egret_model::{QueryId, record};

use crate::{Code, Stamp};

record! {
    /// One recorded event: what happened, in which process and when in causal order.
    #[derive(Eq)]
    pub struct Event {
        /// The position in causal order.
        pub stamp: Stamp,
        /// The process, as `role@host`.
        pub process: String,
        /// The event's number.
        pub code: Code,
        /// The query that the event belongs to, if any.
        pub query: Option<QueryId>,
        /// Details for operators; may be empty.
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
