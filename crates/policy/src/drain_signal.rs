//! A target's word that it leaves, as relays pass it on.

use std::{net::SocketAddr, time::Duration};

use egret_model::Incarnation;

/// What one relay tells the other candidates of a block about a leaving target.
///
/// Health reports mislead, so a relay that takes a block over cannot find out by
/// itself what the target told the relay before it (docs/DESIGN.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSignal {
    /// The target.
    pub address: SocketAddr,
    /// The target's run that leaves, where it is known.
    pub incarnation: Option<Incarnation>,
    /// How long ago the target said so.
    pub age: Duration,
}
