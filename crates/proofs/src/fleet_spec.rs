//! The size of a test fleet.

use egret_standin::Behaviour;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Hosts with an agent, a relay and an entry each.
    pub hosts: usize,
    /// Services of the group `desk`.
    pub services: usize,
    /// Replicas of each service.
    pub replicas: usize,
    /// Shards of each service.
    pub shards: usize,
    /// Replicas that hold each shard.
    pub replicas_per_shard: usize,
    /// Slots of each replica.
    pub slots: u16,
    /// The time budget of the first class, in milliseconds.
    pub budget_ms: u32,
    /// The minimum coverage of the first class.
    pub min_coverage: f64,
    /// What happens below it: `partial` or `refuse`.
    pub below_minimum: &'static str,
    /// Retries as a percentage.
    pub retry_percent: f64,
    /// Hedges as a percentage.
    pub hedge_percent: f64,
    /// How every target behaves at first.
    pub behaviour: Behaviour,
    /// Whether forwarders stand between the hosts, so that they can be cut off from each other.
    pub has_forwarders: bool,
    /// More settings of entries.
    pub entry_flags: Vec<String>,
    /// The simple design that relays run in place of the product's decisions.
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
