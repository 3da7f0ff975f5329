//! The agent, the daemon that keeps the newest configuration and host list for its host.
//!
//! One agent runs on each entry host. A few agents per data centre hold a watch
//! at the platform; the others learn of changes by gossip with their peers, and read
//! the platform only when neither they nor their peers reached it recently. An agent
//! adopts the newest version that it or any peer has seen, and never an older one:
//!
//! ```no_run
//! use egret_agent::{Agent, Options};
//! use egret_node::HttpServer;
//!
//! # async fn start(traffic: tokio::runtime::Handle) {
//! let options = Options::local("seeb-1", "127.0.0.1:7400", "127.0.0.1:7000").unwrap();
//! let agent = Agent::spawn(options);
//! let server = HttpServer::bind(&traffic, agent.address(), Default::default(), agent.handler()).await;
//! # }
//! ```
//!
//! docs/DESIGN.md, "Configuration" explains the order of versions and the budget
//! of platform calls.

mod agent;
mod error;
mod handler;
mod options;
mod platform;
mod platform_access;
mod state;
mod value_source;

pub use agent::Agent;
pub use error::FetchError;
pub use handler::AgentHandler;
pub use options::{IDLE_CONNECTIONS, Options};
pub use platform_access::{WATCHERS_PER_DATA_CENTRE, is_watcher};
pub use state::AgentState;
