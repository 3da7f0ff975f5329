//! The operator's tools: publish, timeline, load, plot.
//!
//! - `egret-publish` checks declaration files and writes the collected, versioned
//!   configuration: [`publish`].
//! - `egret-timeline` merges the event journals of all processes into one timeline, or
//!   collects the log lines of one request.
//! - `egret-load` sends an open-loop load and reports latency, coverage and extra
//!   attempts: [`load`].
//! - `egret-plot` draws what `scripts/bench --out` measured: [`plot`].
//!
//! docs/OPERATIONS.md shows how each is used.

pub mod load;
pub mod plot;
pub mod publish;
