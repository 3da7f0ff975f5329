//! The signal that a target drains, as relays pass it on.

use std::{net::SocketAddr, time::Duration};

use egret_model::Incarnation;

/// The signal that a target drains, sent by one relay to the other candidates of its block.
///
/// Health reports can be wrong, so a relay that takes over a block cannot find out by
/// itself what the target reported to the previous owner (docs/DESIGN.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSignal {
    /// The address of the target.
    pub address: SocketAddr,
    /// The run of the target that drains, where it is known.
    pub incarnation: Option<Incarnation>,
    /// How long ago the target reported it.
    pub age: Duration,
}
