//! The size and settings of a test fleet.

use egret_standin::Behaviour;

/// The size and settings of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The number of hosts; each runs an agent, a relay and an entry.
    pub hosts: usize,
    /// The number of services, all in the group `desk`.
    pub services: usize,
    /// The number of replicas of each service.
    pub replicas: usize,
    /// The number of shards of each service.
    pub shards: usize,
    /// The number of replicas that hold each shard.
    pub replicas_per_shard: usize,
    /// The declared number of slots of each replica.
    pub slots: u16,
    /// The time budget of every class, in milliseconds.
    pub budget_ms: u32,
    /// The minimum coverage of every class.
    pub min_coverage: f64,
    /// What an entry does below that coverage: `partial` or `refuse`.
    pub below_minimum: &'static str,
    /// The declared retry budget, in percent.
    pub retry_percent: f64,
    /// The declared hedge budget, in percent.
    pub hedge_percent: f64,
    /// The initial behaviour of every target.
    pub behaviour: Behaviour,
    /// Whether hosts reach each other through forwarders, which can cut or delay their connections.
    pub has_forwarders: bool,
    /// Additional command-line flags of entries.
    pub entry_flags: Vec<String>,
    /// The simple baseline that relays run instead of the product's decisions; `none` for the product.
    ///
    /// Only processes use it, not [`SimulatedFleet`](crate::SimulatedFleet).
    pub baseline: &'static str,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            hosts: 3,
            services: 3,
            replicas: 2,
            shards: 2,
            replicas_per_shard: 2,
            slots: 2,
            budget_ms: 2000,
            min_coverage: 0.5,
            below_minimum: "partial",
            retry_percent: 10.0,
            hedge_percent: 2.0,
            behaviour: Behaviour { slots: 2, service_us: 2000, records: 20, ..Behaviour::default() },
            has_forwarders: false,
            entry_flags: Vec::new(),
            baseline: "none",
        }
    }
}
