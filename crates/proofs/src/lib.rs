//! Process tests: a small fleet with faults, and checks of what must always hold.
//!
//! [`Fleet`] starts the real daemons as processes, each host on a loopback address
//! of its own. Targets and platform run inside the test, so that it can change
//! their behaviour and read what they executed:
//!
//! ```no_run
//! use egret_proofs::{Fleet, Role, Shape};
//! use nix::sys::signal::Signal;
//!
//! # async fn test() {
//! let fleet = Fleet::start(Shape::default()).await;
//! let answer = fleet.client().query_once(&fleet.lookup(7)).await.unwrap();
//! egret_proofs::check_answer(&fleet, 7, &answer);
//! fleet.signal(0, Role::Relay, Signal::SIGKILL);
//! # }
//! ```
//!
//! docs/PROOFS.md lists the promises, the faults and what is not proved.

mod bids;
mod check;
mod daemon;
mod declare;
mod fleet;
mod forwarder;
mod history;
mod inside;
mod links;
mod network;
mod shape;

pub use bids::Bids;
pub use check::{check_answer, check_at_most_once, executions_of};
pub use daemon::{Daemon, Role, Usage, binary};
pub use declare::{Declared, SnapshotPlan, example_declaration};
pub use fleet::{Fleet, body};
pub use forwarder::{Forwarder, Passing};
pub use history::{
    VersionHistory, Violation, expected_hits, judge_answer, judge_at_most_once, judge_not_run,
};
pub use inside::{Caller, Outcome, Traffic, World};
pub use shape::Shape;
