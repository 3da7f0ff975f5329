//! Service declarations, their validation, and the collected configuration.
//!
//! Operators keep one declaration file beside each service's code.
//! [`collect`] validates a set of them and merges them into one [`Config`]:
//!
//! ```
//! use egret_conf::{DeclarationFile, collect};
//! use egret_model::Version;
//!
//! let text = r#"
//! service = "vault-read"
//! group = "vault-read"
//! slots = 4
//! connections = 240
//!
//! [[class]]
//! name = "archive-pull"
//! rank = 3
//! time_budget_ms = 2000
//! min_coverage = 0.9
//!
//! [[replica]]
//! name = "r0"
//! address = "127.0.0.1:7000"
//! host = "t-0"
//! data_centre = "seeb"
//!
//! [[placement]]
//! id = 1
//! shards = [{ name = "s0", replicas = ["r0"] }]
//!
//! [[snapshot]]
//! id = 1
//! placement = 1
//! "#;
//! let config = collect(Version(1), &[DeclarationFile::new("vault.toml", text)]).unwrap();
//! assert_eq!(config.services().len(), 1);
//! ```
//!
//! All errors of all files are reported at once, each with its line and a remedy.
//! A configuration is published as a [`Head`], a [`Manifest`] and one value per
//! service, each named by its content hash; docs/DESIGN.md, "Configuration" explains why.

mod check;
mod class;
mod collect;
mod config;
mod content_hash;
mod declaration;
mod head;
mod hosts;
mod hosts_change;
mod placement;
mod problem;
mod replica;
mod service;

pub use class::{BelowMinimum, Class};
pub use collect::{DeclarationFile, collect};
pub use config::{Config, ConfigError, Difference};
pub use content_hash::ContentHash;
pub use head::{ConfigChange, Head, Manifest, ManifestEntry, RECENT_CHANGES_MAX};
pub use hosts::{Host, HostList, HostState};
pub use hosts_change::{HostsChange, HostsUpdate, RECENT_HOSTS_CHANGES_MAX, hosts_update};
pub use placement::{Placement, ShardReplicas, Snapshot};
pub use problem::{Problem, Problems};
pub use replica::Replica;
pub use service::Service;
