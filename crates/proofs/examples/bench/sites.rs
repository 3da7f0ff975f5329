//! Both users' services of today, each alone, at half of what its slots carry.
//!
//! 14 hosts in 3 data centres; messages between data centres are delayed both ways, on
//! their way between hosts and to targets. The Trust's fourth data centre is left out.

use std::time::Duration;

use egret_proofs::{Fleet, Shape};
use egret_standin::Behaviour;
use egret_tools::load::Plan;

use crate::{
    cases::{SERVICE_US, load, name, plan, usual, warm_up},
    row::{Begin, Row},
};

const HOSTS: usize = 14;
const BUDGET_MS: u64 = 500;
const LENGTH: Duration = Duration::from_secs(5);

/// One user's services of one kind.
struct Desk {
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

const DESKS: [Desk; 8] = [
    Desk { name: "field-desk", services: 20, replicas: 2, slots: 2, connect_us: 6000, between: SAHIL },
    Desk { name: "permit-desk", services: 30, replicas: 2, slots: 2, connect_us: 6000, between: SAHIL },
    Desk { name: "vault-read", services: 1, replicas: 10, slots: 4, connect_us: 1000, between: SAHIL },
    Desk { name: "review-board", services: 1, replicas: 5, slots: 4, connect_us: 1000, between: SAHIL },
    Desk { name: "bidder-portal", services: 20, replicas: 2, slots: 2, connect_us: 6000, between: TRUST },
    Desk { name: "insurer-intake", services: 30, replicas: 2, slots: 2, connect_us: 6000, between: TRUST },
    Desk { name: "yard-assess", services: 1, replicas: 20, slots: 2, connect_us: 1000, between: TRUST },
    Desk { name: "payout-ledger", services: 1, replicas: 10, slots: 2, connect_us: 1000, between: TRUST },
];

impl Desk {
    /// Each replica leads for one shard, and the next one holds a copy.
    fn shards(&self) -> usize {
        if self.services > 1 { 1 } else { self.replicas }
    }

    fn shape(&self, baseline: &'static str) -> Shape {
        let behaviour = Behaviour {
            slots: u32::from(self.slots),
            connect_us: self.connect_us,
            far_us: self.between.as_micros() as u64,
            ..usual()
        };
        Shape {
            hosts: HOSTS,
            services: self.services,
            replicas: self.replicas,
            shards: self.shards(),
            slots: self.slots,
            linked: true,
            baseline,
            behaviour,
            ..Shape::default()
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
    for desk in DESKS {
        for baseline in ["none", "random"] {
            let fleet = Fleet::start(desk.shape(baseline)).await;
            fleet.delay_between_data_centres(desk.between);
            warm_up(&fleet, desk.rate()).await;
            let begin = Begin::now(&fleet);
            let report = load(&fleet, &Plan { duration: LENGTH, ..plan(desk.rate(), BUDGET_MS) }).await;
            rows.push(begin.row(&fleet, desk.name, name(baseline), &report));
        }
    }
    rows
}
