//! The entry, the daemon that takes callers' queries and scatters them over relays.
//!
//! An entry checks a caller's query, pins one snapshot, sends one message to each
//! relay that owns a block of the query, and merges their answers:
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
//! The steps of a query: [`CallerHandler`] decodes it, `tickets` decides whether this entry
//! may run it, `plan` checks it against the configuration and pins a snapshot, `preflight`
//! may ask the relays whether they would refuse it, `gather` sends its parts to the relays and
//! merges the answers, `outcome` turns the result into an answer or a refusal. docs/API.md describes the interface.

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
