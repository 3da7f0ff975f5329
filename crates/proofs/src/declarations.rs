//! Generates the service declarations of a test fleet.

use std::{fmt::Write, net::SocketAddr};

use egret_conf::{Config, DeclarationFile, collect};
use egret_model::Version;

use crate::{
    FleetSpec,
    address_plan::{DATA_CENTRES, data_centre_of},
};

/// A snapshot, and which replicas its placement assigns the shards to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotPlan {
    /// The id of the snapshot and of its placement.
    pub id: u64,
    /// Shard `s` is placed on replica `s + rotation` modulo the replicas, and on those after it; 0 places
    /// shard `s` on replica `s`.
    pub rotation: usize,
    /// The number of shards of each service.
    pub shards: usize,
}

/// The values from which the declarations of a fleet are generated.
#[derive(Clone, Debug)]
pub struct FleetDeclarations {
    /// The size and settings of the fleet.
    pub spec: FleetSpec,
    /// The addresses of the targets, by service and replica.
    pub targets: Vec<Vec<SocketAddr>>,
    /// The declared snapshots.
    pub snapshots: Vec<SnapshotPlan>,
    /// Added to each service's `connections`, so that a test can change one service at a time.
    pub extra_connections: Vec<u16>,
}

impl FleetDeclarations {
    /// Collects the declarations into a configuration with the given version.
    ///
    /// # Panics
    /// Panics if a declaration is invalid, which is a bug of the test.
    #[must_use]
    pub fn config(&self, version: u64) -> Config {
        let files: Vec<DeclarationFile> = (0..self.targets.len())
            .map(|service| {
                DeclarationFile::new(
                    format!("{}.egret.toml", service_name(service)),
                    self.service_toml(service),
                )
            })
            .collect();
        collect(Version(version), &files).expect("the generated declarations are valid")
    }

    fn service_toml(&self, service: usize) -> String {
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

/// Returns the text of a valid declaration of one service.
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
    .service_toml(0)
}

/// Returns the name of the service with the given number.
pub(crate) fn service_name(service: usize) -> String {
    format!("desk-{service:02}")
}
