//! A fleet of complete daemons in the test process on a paused clock, with a simulated network.
//!
//! [`SimulatedNetwork`] delays, holds back and cuts off messages. Targets and the
//! platform are the stand-ins without their sockets; everything else is the daemons'
//! own code. Signals, sockets and threads are not simulated: the tests that start
//! processes cover them.

mod caller;
mod fleet;
mod network;
mod process;

pub use caller::{Caller, QueryError};
pub use fleet::SimulatedFleet;
pub(crate) use network::SimulatedNetwork;
pub use network::Traffic;
