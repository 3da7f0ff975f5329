//! The settings of a stand-in target, among them the faults that it injects.

use std::{net::IpAddr, time::Duration};

use egret_model::{ClassName, record};
use egret_wire::HeldSnapshot;

record! {
    /// The settings of one target; [`Target::set`](crate::Target::set) replaces them while it runs.
    #[serde(deny_unknown_fields, default)]
    pub struct Behaviour {
        /// The most requests that run at a time; the target refuses further ones as busy.
        pub slots: u32,
        /// The mean service time in microseconds.
        pub service_us: u64,
        /// The fraction of requests that are slow, from 0 to 1.
        pub slow_share: f64,
        /// The factor by which the service time of slow requests is multiplied.
        pub slow_factor: f64,
        /// The delay before the first request of a new connection is read, in microseconds.
        pub connect_us: u64,
        /// The one-way delay of messages from and to peers that are not in `near`, in microseconds.
        pub far_us: u64,
        /// The peers in the target's own data centre; their messages are not delayed.
        pub near: Vec<IpAddr>,
        /// Whether it refuses requests as draining and reports that phase in its health and replies.
        pub draining: bool,
        /// Whether only its health reports that it is draining, while it still accepts requests.
        pub health_drains: bool,
        /// Whether it refuses requests as starting and reports that phase in its health.
        pub starting: bool,
        /// Whether its health reports the phase ready in every state.
        pub health_misleads: bool,
        /// Whether it refuses every request as busy.
        pub sheds: bool,
        /// Whether half of a reply's body is sent before the connection is closed.
        pub truncates: bool,
        /// Whether replies carry the identifier and the hits of another query.
        pub confuses: bool,
        /// A text that crashes the target if a request's body contains it.
        pub crash_on: Option<String>,
        /// The time from a crash to the restart, in milliseconds.
        pub crash_ms: u64,
        /// The snapshots that it serves; if empty, it serves all.
        pub snapshots: Vec<HeldSnapshot>,
        /// The number of records in each shard.
        pub records: u32,
        /// The classes whose requests it refuses as busy.
        pub shed_classes: Vec<ClassName>,
    }
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 2,
            service_us: 1000,
            slow_share: 0.0,
            slow_factor: 1.0,
            connect_us: 0,
            far_us: 0,
            near: Vec::new(),
            draining: false,
            health_drains: false,
            starting: false,
            health_misleads: false,
            sheds: false,
            truncates: false,
            confuses: false,
            crash_on: None,
            crash_ms: 3000,
            snapshots: Vec::new(),
            records: 50,
            shed_classes: Vec::new(),
        }
    }
}

impl Behaviour {
    /// Returns the delay of a message from or to `peer` beyond that inside a data centre.
    pub(crate) fn one_way_delay(&self, peer: IpAddr) -> Duration {
        let is_near = self.near.contains(&peer);
        Duration::from_micros(if is_near { 0 } else { self.far_us })
    }
}
