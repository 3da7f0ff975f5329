//! Declarations of a test fleet.

use std::{fmt::Write, net::SocketAddr};

use egret_conf::{Config, DeclarationFile, collect};
use egret_model::Version;

use crate::{
    FleetSpec,
    address_plan::{DATA_CENTRES, data_centre_of},
};

/// A snapshot and how its placement turns the shards over the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotPlan {
    /// The snapshot, and its placement.
    pub id: u64,
    /// How far the shards move; 0 keeps them.
    pub rotation: usize,
    /// The number of shards.
    pub shards: usize,
}

/// What the declarations of a fleet say.
#[derive(Clone, Debug)]
pub struct FleetDeclarations {
    /// The fleet's shape.
    pub spec: FleetSpec,
    /// The targets by service.
    pub targets: Vec<Vec<SocketAddr>>,
    /// The declared snapshots.
    pub snapshots: Vec<SnapshotPlan>,
    /// More connections of single services, as the test changes them one by one.
    pub extra_connections: Vec<u16>,
}

impl FleetDeclarations {
    /// Collects the declarations into a configuration.
    ///
    /// # Panics
    /// Panics where the declarations are wrong, which is a bug of the test.
    #[must_use]
    pub fn config(&self, version: u64) -> Config {
        let sources: Vec<DeclarationFile> = (0..self.targets.len())
            .map(|service| {
                DeclarationFile::new(format!("{}.egret.toml", service_name(service)), self.text(service))
            })
            .collect();
        collect(Version(version), &sources).expect("the test's declarations are right")
    }

    fn text(&self, service: usize) -> String {
        let spec = &self.spec;
        let name = service_name(service);
        let mut text = format!(
            "service = \"{name}\"\ngroup = \"desk\"\nslots = {}\nconnections = {}\nretry_percent = {:?}\nhedge_percent = {:?}\n",
            spec.slots,
            200 + self.extra_connections[service],
            spec.retry_percent,
            spec.hedge_percent
        );
        for (class, rank) in [("lookup", 1), ("file", 2), ("archive", 3)] {
            let _ = write!(
                text,
                "[[class]]\nname = \"{class}\"\nrank = {rank}\ntime_budget_ms = {}\nmin_coverage = {:?}\nbelow_minimum = \"{}\"\n",
                spec.budget_ms, spec.min_coverage, spec.below_minimum
            );
        }
        for (replica, address) in self.targets[service].iter().enumerate() {
            let data_centre = DATA_CENTRES[data_centre_of(replica)];
            let _ = write!(
                text,
                "[[replica]]\nname = \"r{replica}\"\naddress = \"{address}\"\nhost = \"t-{service}-{replica}\"\ndata_centre = \"{data_centre}\"\n"
            );
        }
        for snapshot in &self.snapshots {
            let _ = writeln!(text, "[[placement]]\nid = {}\nshards = [", snapshot.id);
            for shard in 0..snapshot.shards {
                let replicas: Vec<String> = (0..spec.replicas_per_shard)
                    .map(|copy| format!("\"r{}\"", (shard + copy + snapshot.rotation) % spec.replicas))
                    .collect();
                let _ = writeln!(text, "{{ name = \"s{shard}\", replicas = [{}] }},", replicas.join(", "));
            }
            let _ = writeln!(text, "]\n[[snapshot]]\nid = {}\nplacement = {}", snapshot.id, snapshot.id);
        }
        text
    }
}

/// Returns the declaration of one small service.
#[must_use]
pub fn example_declaration() -> String {
    let targets =
        vec![vec![SocketAddr::from(([127, 0, 0, 1], 7100)), SocketAddr::from(([127, 0, 0, 1], 7101))]];
    let first = SnapshotPlan { id: 1, rotation: 0, shards: 2 };
    FleetDeclarations {
        spec: FleetSpec::default(),
        targets,
        snapshots: vec![first],
        extra_connections: vec![0],
    }
    .text(0)
}

/// Names a service of a test fleet.
pub(crate) fn service_name(service: usize) -> String {
    format!("desk-{service:02}")
}
