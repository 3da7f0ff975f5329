//! Open-loop load: latencies count from the intended start of each query.

mod report;
mod run;

pub use report::{Report, Summary};
pub use run::{Plan, run};
