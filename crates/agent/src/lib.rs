//! The agent: follows configuration and hosts, and tells its host.
//!
//! One agent runs on each entry host. A few agents per data centre hold a watch
//! at the platform; the others hear from their peers and read the platform only
//! when nobody they hear from reached it lately. An agent takes the newest
//! version that it or any peer has seen, and never goes back:
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
