//! The entry: answers callers.
//!
//! An entry checks a caller's query, pins one snapshot, sends one message to each
//! relay that owns a block of the query, and merges what comes back:
//!
//! ```no_run
//! use egret_entry::{Entry, Options};
//! use egret_node::{AgentWatcher, HttpLimits, HttpServer};
//!
//! # async fn start(traffic: tokio::runtime::Handle, watcher: AgentWatcher, journal: egret_events::Journal) {
//! let internal = "127.0.0.1:7200".parse().unwrap();
//! let entry = Entry::spawn(Options::new(internal, internal), watcher, journal, traffic.clone());
//! let address = "127.0.0.1:8080".parse().unwrap();
//! let callers = HttpServer::bind(&traffic, address, HttpLimits::default(), entry.caller_handler()).await;
//! let others = HttpServer::bind(&traffic, internal, HttpLimits::internal(), entry.internal_handler()).await;
//! # }
//! ```
//!
//! A query's way through this crate: [`CallerHandler`] decodes it, `tickets` decides
//! who may run it, `plan` checks it against the configuration and pins a snapshot,
//! `gather` asks the relays and merges, `outcome` turns the result into an answer
//! or a refusal. docs/API.md describes the interface.

mod caller_handler;
mod entry;
mod gather;
mod instruments;
mod internal_handler;
mod options;
mod outcome;
mod plan;
mod preflight;
mod relay_liveness;
mod snapshot_reports;
mod tickets;

pub use caller_handler::CallerHandler;
pub use entry::Entry;
pub use internal_handler::InternalHandler;
pub use options::Options;
