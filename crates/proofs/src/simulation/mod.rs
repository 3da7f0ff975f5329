//! Whole daemons in one process on a paused clock, with fakes at their interfaces.
//!
//! The network is a [`SimulatedNetwork`] that delays, loses and cuts messages; targets and the
//! platform are the stand-ins without their sockets. Everything else is the daemons'
//! own code. What only processes show (signals, sockets, threads) is left to the
//! process tests.

mod caller;
mod fleet;
mod network;
mod process;

pub use caller::{Caller, QueryError};
pub use fleet::SimulatedFleet;
pub(crate) use network::SimulatedNetwork;
pub use network::Traffic;
