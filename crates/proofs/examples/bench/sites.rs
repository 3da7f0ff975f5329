//! Both users' services of today, each alone, at half of what its slots carry.
//!
//! 14 hosts in 3 data centres; messages between data centres are delayed both ways, on
//! their way between hosts and to targets. The Trust's fourth data centre is left out.

use std::time::Duration;

use egret_proofs::{Fleet, FleetSpec};
use egret_standin::Behaviour;
use egret_tools::load::Plan;

use crate::{
    cases::{SERVICE_US, default_behaviour, load, plan, variant_name, warm_up},
    row::{MeasurementStart, Row},
};

const HOSTS: usize = 14;
const BUDGET_MS: u64 = 500;
const LENGTH: Duration = Duration::from_secs(5);

/// One user's services of one kind.
struct ServiceGroup {
    name: &'static str,
    services: usize,
    replicas: usize,
    slots: u16,
    connect_us: u64,
    /// One way between data centres.
    between: Duration,
}

const SAHIL: Duration = Duration::from_micros(1500);
const TRUST: Duration = Duration::from_micros(500);

const SERVICE_GROUPS: [ServiceGroup; 8] = [
    ServiceGroup {
        name: "field-desk",
        services: 20,
        replicas: 2,
        slots: 2,
        connect_us: 6000,
        between: SAHIL,
    },
    ServiceGroup {
        name: "permit-desk",
        services: 30,
        replicas: 2,
        slots: 2,
        connect_us: 6000,
        between: SAHIL,
    },
    ServiceGroup {
        name: "vault-read",
        services: 1,
        replicas: 10,
        slots: 4,
        connect_us: 1000,
        between: SAHIL,
    },
    ServiceGroup {
        name: "review-board",
        services: 1,
        replicas: 5,
        slots: 4,
        connect_us: 1000,
        between: SAHIL,
    },
    ServiceGroup {
        name: "bidder-portal",
        services: 20,
        replicas: 2,
        slots: 2,
        connect_us: 6000,
        between: TRUST,
    },
    ServiceGroup {
        name: "insurer-intake",
        services: 30,
        replicas: 2,
        slots: 2,
        connect_us: 6000,
        between: TRUST,
    },
    ServiceGroup {
        name: "yard-assess",
        services: 1,
        replicas: 20,
        slots: 2,
        connect_us: 1000,
        between: TRUST,
    },
    ServiceGroup {
        name: "payout-ledger",
        services: 1,
        replicas: 10,
        slots: 2,
        connect_us: 1000,
        between: TRUST,
    },
];

impl ServiceGroup {
    /// Each replica leads for one shard, and the next one holds a copy.
    fn shards(&self) -> usize {
        if self.services > 1 { 1 } else { self.replicas }
    }

    fn spec(&self, baseline: &'static str) -> FleetSpec {
        let behaviour = Behaviour {
            slots: u32::from(self.slots),
            connect_us: self.connect_us,
            far_us: self.between.as_micros() as u64,
            ..default_behaviour()
        };
        FleetSpec {
            hosts: HOSTS,
            services: self.services,
            replicas: self.replicas,
            shards: self.shards(),
            slots: self.slots,
            has_forwarders: true,
            baseline,
            behaviour,
            ..FleetSpec::default()
        }
    }

    /// Queries a second that take half of the slots' time.
    fn rate(&self) -> f64 {
        let searches_per_s = self.replicas as f64 * f64::from(self.slots) * 1e6 / SERVICE_US as f64;
        searches_per_s / self.shards() as f64 / 2.0
    }
}

pub(crate) async fn run() -> Vec<Row> {
    let mut rows = Vec::new();
    for group in SERVICE_GROUPS {
        for baseline in ["none", "random"] {
            let fleet = Fleet::start(group.spec(baseline)).await;
            fleet.delay_between_data_centres(group.between);
            warm_up(&fleet, group.rate()).await;
            let start = MeasurementStart::now(&fleet);
            let report = load(&fleet, &Plan { length: LENGTH, ..plan(group.rate(), BUDGET_MS) }).await;
            rows.push(start.row(&fleet, group.name, variant_name(baseline), &report));
        }
    }
    rows
}
