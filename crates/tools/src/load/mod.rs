//! Open-loop load with latencies from the intended start.

mod report;
mod run;

pub use report::{Report, Summary};
pub use run::{Plan, run};
