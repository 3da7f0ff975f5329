//! Route tables, the replica registry and the merge of gathered parts; no I/O.
//!
//! A [`RouteTable`] is one version of the configuration. It finds the route of a request by
//! its host and the longest matching prefix of its path:
//!
//! ```
//! use egret_model::Version;
//! use egret_routes::{Backend, CallerLimits, Homes, Route, RouteTable};
//!
//! let route = |name: &str, prefix: &str| Route {
//!     name: name.into(),
//!     host: "wells.example".into(),
//!     prefix: prefix.into(),
//!     idempotent: true,
//!     timeout_ms: 3000,
//!     latency_objective_ms: 200,
//!     priority: 1,
//!     attempts_max: 2,
//!     backend: Backend::One("vault".into()),
//!     homes: Homes::default(),
//! };
//! let routes = vec![route("all", "/"), route("logs", "/logs/")];
//! let table = RouteTable::new(Version(1), routes, Vec::new(), CallerLimits::default());
//! assert_eq!(&*table.find("wells.example", "/logs/7?depth=2").unwrap().name, "logs");
//! assert_eq!(&*table.find("wells.example", "/logs").unwrap().name, "all");
//! ```
//!
//! - [`Registry`]: the replicas that registered themselves, with the [`StorePosition`] of each change.
//! - [`Evacuations`]: the data centres whose replicas must get no requests.
//! - [`Homes`], [`RegionMap`]: the regions in which a request must stay, and those of data centres.
//! - [`TopRecords`], [`merge_top_records`]: the merge of the parts of a gather.
//!
//! docs/PLATFORM.md describes how route tables and registry entries reach every host.

mod backend;
mod caller_homes;
mod caller_limits;
mod evacuation_change;
mod evacuations;
mod gather_plan;
mod history_gaps;
mod homes;
mod leaving_runs;
mod merge;
mod region_map;
mod registry;
mod registry_delta;
mod registry_entry;
mod replica;
mod replica_run;
mod reports_before_deletion;
mod route;
mod service;
mod store_position;
mod table;
mod top_records;
mod warm_up;
mod weighted_service;

pub use backend::Backend;
pub use caller_homes::CallerHomes;
pub use caller_limits::CallerLimits;
pub use evacuation_change::EvacuationChange;
pub use evacuations::Evacuations;
pub use gather_plan::GatherPlan;
pub use homes::Homes;
pub use merge::{RECORD_BYTES, merge_top_records};
pub use region_map::RegionMap;
pub use registry::Registry;
pub use registry_delta::RegistryDelta;
pub use registry_entry::RegistryEntry;
pub use replica::Replica;
pub use replica_run::ReplicaRun;
pub use route::Route;
pub use service::Service;
pub use store_position::StorePosition;
pub use table::RouteTable;
pub use top_records::TopRecords;
pub use warm_up::WarmUp;
pub use weighted_service::WeightedService;
