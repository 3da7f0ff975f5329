//! The present services of both users, each kind alone, at half the capacity of its slots.
//!
//! 14 hosts in 3 data centres. Messages between data centres are delayed in both directions,
//! both between hosts and to targets. The Trust's fourth data centre is not modelled.

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

/// The services of one kind that a user runs.
struct Workload {
    name: &'static str,
    services: usize,
    replicas: usize,
    slots: u16,
    connect_us: u64,
    /// The delay between data centres in one direction.
    one_way: Duration,
}

/// The one-way delays between the data centres of each user.
const SAHIL: Duration = Duration::from_micros(1500);
const TRUST: Duration = Duration::from_micros(500);

const WORKLOADS: [Workload; 8] = [
    Workload { name: "field-desk", services: 20, replicas: 2, slots: 2, connect_us: 6000, one_way: SAHIL },
    Workload { name: "permit-desk", services: 30, replicas: 2, slots: 2, connect_us: 6000, one_way: SAHIL },
    Workload { name: "vault-read", services: 1, replicas: 10, slots: 4, connect_us: 1000, one_way: SAHIL },
    Workload { name: "review-board", services: 1, replicas: 5, slots: 4, connect_us: 1000, one_way: SAHIL },
    Workload { name: "bidder-portal", services: 20, replicas: 2, slots: 2, connect_us: 6000, one_way: TRUST },
    Workload {
        name: "insurer-intake",
        services: 30,
        replicas: 2,
        slots: 2,
        connect_us: 6000,
        one_way: TRUST,
    },
    Workload { name: "yard-assess", services: 1, replicas: 20, slots: 2, connect_us: 1000, one_way: TRUST },
    Workload { name: "payout-ledger", services: 1, replicas: 10, slots: 2, connect_us: 1000, one_way: TRUST },
];

impl Workload {
    /// Returns the shards of each service: one, or one per replica if the workload is a single service.
    ///
    /// The next replica holds each shard as well.
    fn shards(&self) -> usize {
        if self.services > 1 { 1 } else { self.replicas }
    }

    fn spec(&self, baseline: &'static str) -> FleetSpec {
        let behaviour = Behaviour {
            slots: u32::from(self.slots),
            connect_us: self.connect_us,
            far_us: self.one_way.as_micros() as u64,
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

    /// Returns the queries per second that keep half of the slots busy.
    fn rate(&self) -> f64 {
        let searches_per_s = self.replicas as f64 * f64::from(self.slots) * 1e6 / SERVICE_US as f64;
        searches_per_s / self.shards() as f64 / 2.0
    }
}

pub(crate) async fn run() -> Vec<Row> {
    let mut rows = Vec::new();
    for workload in WORKLOADS {
        for baseline in ["none", "random"] {
            let fleet = Fleet::start(workload.spec(baseline)).await;
            fleet.delay_between_data_centres(workload.one_way);
            warm_up(&fleet, workload.rate()).await;
            let start = MeasurementStart::now(&fleet);
            let report = load(&fleet, &Plan { duration: LENGTH, ..plan(workload.rate(), BUDGET_MS) }).await;
            rows.push(start.row(&fleet, workload.name, variant_name(baseline), &report));
        }
    }
    rows
}
