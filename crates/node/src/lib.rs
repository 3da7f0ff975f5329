//! The basis of every daemon: threads, logs, metrics, HTTP server and client.
//!
//! [`run_daemon`] runs a daemon: its control tasks on the calling thread, and its
//! traffic on other threads. A [`HttpServer`] passes requests to a [`HttpHandler`]:
//!
//! ```no_run
//! use egret_node::{HttpRequest, HttpLimits, HttpServer, Reply, HttpHandler, run_daemon};
//!
//! struct Hello;
//!
//! impl HttpHandler for Hello {
//!     async fn respond(&self, request: HttpRequest) -> Reply {
//!         Reply::text(200, format!("you asked for {}", request.path))
//!     }
//! }
//!
//! run_daemon(2, async |traffic| {
//!     let address = "127.0.0.1:8080".parse().unwrap();
//!     let server = HttpServer::bind(&traffic, address, HttpLimits::default(), Hello).await.unwrap();
//!     egret_node::stop_signal().await;
//!     server.stop(std::time::Duration::from_secs(5)).await;
//!     std::process::ExitCode::SUCCESS
//! });
//! ```
//!
//! An [`AgentWatcher`] keeps a daemon's [`View`] of configuration and hosts up to date;
//! traffic reads it without locks. docs/DESIGN.md describes the threads.

mod agent_watcher;
mod client;
mod http;
mod listen_error;
mod logs;
mod memory_reserve;
mod metrics;
mod ops;
mod random;
mod receive_buffer;
mod reply;
mod request;
mod response_body;
mod run_daemon;
mod signal;
mod transport;
mod view;

pub use agent_watcher::AgentWatcher;
pub use client::{ExchangeError, HttpClient, HttpResponse};
pub use http::{HttpHandler, HttpLimits, HttpServer};
pub use listen_error::ListenError;
pub use logs::{LogFormat, StdoutLog, init_stderr_log};
pub use memory_reserve::MemoryReserve;
pub use metrics::{Metrics, label};
pub use ops::Ops;
pub use random::{new_incarnation, new_query_id, new_secret_key};
pub use receive_buffer::limit_receive_buffer;
pub use reply::Reply;
pub use request::{BodyError, HttpRequest};
pub use run_daemon::run_daemon;
pub use signal::stop_signal;
pub use transport::Transport;
pub use view::{Block, View};
