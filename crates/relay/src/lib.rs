//! The relay: owns the connections to the targets of its services.
//!
//! Entries send one message per relay and query. The relay that is first among
//! the live candidates of a block sees all work for its replicas, so it can keep
//! slots, queue, hedges and retries exactly, and notice a request that breaks
//! targets. docs/DESIGN.md, "Who holds the connections" says what was weighed.
//!
//! ```no_run
//! use egret_node::{AgentWatcher, HttpLimits, HttpServer};
//! use egret_relay::{Options, Relay};
//!
//! # async fn start(traffic: tokio::runtime::Handle, watcher: AgentWatcher, journal: egret_events::Journal) {
//! let address = "127.0.0.1:7300".parse().unwrap();
//! let options = Options::new("seeb-1".parse().unwrap(), address);
//! let relay = Relay::spawn(options, watcher, journal, traffic.clone());
//! let server = HttpServer::bind(&traffic, address, HttpLimits::default(), relay.handler()).await;
//! # }
//! ```
//!
//! A query's way through this crate: [`RelayHandler`] decodes the message, `scatter`
//! divides it into cells of shards with the same replicas, `cell` finds a slot for
//! each and hedges or retries, `attempt` is one exchange with one target.

mod attempt;
mod attempt_tracker;
mod gossip;
mod handler;
mod instruments;
mod options;
mod probe;
mod relay;
mod scatter;
mod service_state;
mod slot;
mod sub_request;

pub use handler::RelayHandler;
pub use options::Options;
pub use relay::Relay;
