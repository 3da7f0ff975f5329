//! How a stand-in target behaves.

use std::{net::IpAddr, time::Duration};

use egret_model::{ClassName, record};
use egret_wire::HeldSnapshot;

record! {
    /// The behaviour of one target, changed while it runs.
    #[serde(deny_unknown_fields, default)]
    pub struct Behaviour {
        /// Requests that it runs at a time; more are shed.
        pub slots: u32,
        /// The mean service time in microseconds.
        pub service_us: u64,
        /// The share of requests that are slow, from 0 to 1.
        pub slow_share: f64,
        /// How many times slower those are.
        pub slow_factor: f64,
        /// The delay of a new connection in microseconds.
        pub connect_us: u64,
        /// The delay of a message, each way, from and to peers that are not near, in microseconds.
        pub far_us: u64,
        /// The peers in the target's own data centre.
        pub near: Vec<IpAddr>,
        /// Whether it takes no new work and says so.
        pub draining: bool,
        /// Whether only its health says that it drains, while it still runs what arrives.
        pub health_drains: bool,
        /// Whether it says that it is starting.
        pub starting: bool,
        /// Whether its health says ready whatever it does.
        pub health_misleads: bool,
        /// Whether it refuses all work as busy.
        pub sheds: bool,
        /// Whether replies break off in the middle.
        pub truncates: bool,
        /// Whether replies name another query.
        pub confuses: bool,
        /// Text in a body that crashes the target.
        pub crash_on: Option<String>,
        /// Milliseconds that a crashed target stays away.
        pub crash_ms: u64,
        /// The snapshots that it holds; empty means all.
        pub snapshots: Vec<HeldSnapshot>,
        /// Records in each shard.
        pub records: u32,
        /// Classes that it refuses as busy.
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
    /// Returns how long a message from or to a peer takes longer than inside a data centre.
    pub(crate) fn delay_of(&self, peer: IpAddr) -> Duration {
        let is_near = self.near.contains(&peer);
        Duration::from_micros(if is_near { 0 } else { self.far_us })
    }
}
