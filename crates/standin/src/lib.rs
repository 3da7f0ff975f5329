//! Test doubles for targets and for the platform.
//!
//! Tests and benchmarks use them in place of the external systems. A [`Target`]
//! serves generated well records. It can be set to be slow, to drain, to crash or to
//! report wrong health, and it records what it executed, so that a test can compare
//! answers with the executions behind them. A [`Platform`] serves the configuration
//! and the host list, and can be down or stale:
//!
//! ```no_run
//! use egret_standin::{Behaviour, Platform, Target};
//!
//! # async fn start() {
//! let traffic = tokio::runtime::Handle::current();
//! let platform = Platform::bind(&traffic, "127.0.0.1:0".parse().unwrap()).await.unwrap();
//! platform.put("head", "{}");
//!
//! let target = Target::bind(&traffic, "127.0.0.1:0".parse().unwrap(), Behaviour::default()).await.unwrap();
//! target.set(Behaviour { draining: true, ..Behaviour::default() });
//! assert!(target.executions().is_empty());
//! # }
//! ```

mod behaviour;
mod execution;
mod http_message;
mod platform;
mod publish;
mod records;
mod target;
mod target_server;

pub use behaviour::Behaviour;
pub use execution::Execution;
pub use platform::{Platform, PlatformMode};
pub use publish::{publish_config, publish_hosts};
pub use records::{WellRecord, search, well_records};
pub use target::Target;
