//! Test harness: small fleets with injected faults, and checks of the promises that must always hold.
//!
//! [`Fleet`] starts the real daemons as processes, with a separate loopback address for
//! each host. Targets and platform run inside the test process, so that a test can
//! change their behaviour and read what they executed:
//!
//! ```no_run
//! use egret_proofs::{Fleet, Role, FleetSpec};
//! use nix::sys::signal::Signal;
//!
//! # async fn test() {
//! let fleet = Fleet::start(FleetSpec::default()).await;
//! let answer = fleet.client().query_once(&fleet.lookup(7)).await.unwrap();
//! egret_proofs::assert_valid_answer(&fleet, 7, &answer);
//! fleet.signal(0, Role::Relay, Signal::SIGKILL);
//! # }
//! ```
//!
//! [`SimulatedFleet`] runs the same daemons in the test process on a paused clock.
//!
//! docs/PROOFS.md lists the promises, the faults and what is not proved.

mod address_plan;
mod bids;
mod check;
mod daemon;
mod declarations;
mod fleet;
mod fleet_spec;
mod forwarder;
mod history;
mod host_links;
mod simulation;

pub use bids::BidOutcomes;
pub use check::{assert_at_most_once, assert_valid_answer, executions_of_query};
pub use daemon::{Daemon, ResourceUsage, Role, binary_path};
pub use declarations::{FleetDeclarations, SnapshotPlan, example_declaration};
pub use fleet::{Fleet, lookup_body};
pub use fleet_spec::FleetSpec;
pub use forwarder::{Forwarder, LinkMode};
pub use history::{
    VersionHistory, Violation, expected_hits, verify_answer, verify_at_most_once, verify_not_run,
};
pub use simulation::{Caller, QueryError, SimulatedFleet, Traffic};
