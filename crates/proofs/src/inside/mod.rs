//! Whole daemons in one process on a paused clock, with fakes at their interfaces.
//!
//! The network is a [`Net`] that delays, loses and cuts messages; targets and the
//! platform are the stand-ins without their sockets. Everything else is the daemons'
//! own code. What only processes show (signals, sockets, threads) is left to the
//! process tests.

mod caller;
mod net;
mod route;
mod world;

pub use caller::{Caller, Outcome};
pub(crate) use net::Net;
pub use net::Traffic;
pub use world::World;
