//! The validation of one declaration file.

use std::ops::Range;

use egret_model::{BlockName, PlacementId, ReplicaName, SnapshotId};
use toml::Spanned;

use crate::{
    Class, DeclarationFile, Placement, Problem, Replica, Service, ShardReplicas, Snapshot,
    declaration::{Declaration, PlacementDeclaration},
};

const PERCENT_MAX: f64 = 100.0;

/// Validates one file and collects the problems found in it.
pub(crate) struct Checker<'a> {
    source: &'a DeclarationFile,
    pub(crate) problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    pub(crate) fn new(source: &'a DeclarationFile) -> Self {
        Self { source, problems: Vec::new() }
    }

    /// Adds a problem at the line in which `span` starts.
    pub(crate) fn problem(&mut self, span: Range<usize>, message: impl Into<String>, remedy: &str) {
        let before = &self.source.text[..span.start.min(self.source.text.len())];
        let line = before.matches('\n').count() + 1;
        let (message, remedy) = (message.into(), remedy.to_owned());
        self.problems.push(Problem { file: self.source.file.clone(), line, message, remedy });
    }

    /// Parses and validates the file; returns `None` if problems were found.
    pub(crate) fn check(&mut self) -> Option<Service> {
        let declaration = match toml::from_str::<Declaration>(&self.source.text) {
            Ok(declaration) => declaration,
            Err(error) => {
                let span = error.span().unwrap_or(0..0);
                self.problem(
                    span,
                    error.message().replace('\n', " "),
                    "see docs/DECLARATIONS.md for the fields",
                );
                return None;
            }
        };
        self.check_numbers(&declaration);
        self.check_classes(&declaration);
        self.check_replicas(&declaration);
        self.check_placements(&declaration);
        self.check_snapshots(&declaration);
        self.problems.is_empty().then(|| build(declaration))
    }

    fn check_numbers(&mut self, declaration: &Declaration) {
        if *declaration.slots.get_ref() == 0 {
            self.problem(
                declaration.slots.span(),
                "slots is 0",
                "give the number of requests that a replica runs concurrently",
            );
        }
        if declaration.connections.get_ref() <= declaration.slots.get_ref() {
            let message = "connections is not above slots";
            self.problem(declaration.connections.span(), message, "give the replica's connection limit");
        }
        for (name, value) in
            [("hedge_percent", &declaration.hedge_percent), ("retry_percent", &declaration.retry_percent)]
        {
            if !(0.0..=PERCENT_MAX).contains(value.get_ref()) {
                self.problem(value.span(), format!("{name} is {}", value.get_ref()), "give 0 to 100");
            }
        }
    }

    fn check_classes(&mut self, declaration: &Declaration) {
        if declaration.classes.is_empty() {
            self.problem(declaration.service.span(), "no class of work declared", "add a [[class]] table");
        }
        self.check_unique(
            "class",
            declaration.classes.iter().map(|c| (c.span(), c.get_ref().name.to_string())),
        );
        for class in &declaration.classes {
            let Range { start, end } = class.span();
            let class = class.get_ref();
            if class.rank == 0 {
                self.problem(
                    start..end,
                    format!("class {} has rank 0", class.name),
                    "give 1 or more; 1 is served first",
                );
            }
            if class.time_budget_ms == 0 {
                let message = format!("class {} has time_budget_ms 0", class.name);
                self.problem(start..end, message, "give the default time budget of a query in milliseconds");
            }
            if !(0.0..=1.0).contains(&class.min_coverage) {
                let message = format!("class {} has min_coverage {}", class.name, class.min_coverage);
                self.problem(start..end, message, "give a share from 0 to 1");
            }
        }
    }

    fn check_replicas(&mut self, declaration: &Declaration) {
        if declaration.replicas.is_empty() {
            self.problem(declaration.service.span(), "no replica declared", "add a [[replica]] table");
        }
        let replicas = &declaration.replicas;
        self.check_unique("replica", replicas.iter().map(|r| (r.span(), r.get_ref().name.to_string())));
        self.check_unique("address", replicas.iter().map(|r| (r.span(), r.get_ref().address.to_string())));
    }

    fn check_placements(&mut self, declaration: &Declaration) {
        if declaration.placements.is_empty() {
            self.problem(declaration.service.span(), "no placement declared", "add a [[placement]] table");
        }
        let placements = &declaration.placements;
        self.check_unique("placement", placements.iter().map(|p| (p.span(), p.get_ref().id.to_string())));
        let mut replicas: Vec<_> = declaration.replicas.iter().map(|r| r.get_ref().name.clone()).collect();
        replicas.sort();
        for placement in placements {
            self.check_placement(placement, &replicas);
        }
    }

    fn check_placement(&mut self, placement: &Spanned<PlacementDeclaration>, replicas: &[ReplicaName]) {
        let shards = &placement.get_ref().shards;
        if shards.is_empty() {
            self.problem(placement.span(), "placement without shards", "list its shards");
        }
        self.check_unique("shard", shards.iter().map(|s| (s.span(), s.get_ref().name.to_string())));
        for shard in shards {
            let name = &shard.get_ref().name;
            let listed = &shard.get_ref().replicas;
            if listed.is_empty() {
                self.problem(
                    shard.span(),
                    format!("shard {name} has no replica"),
                    "list the replicas that hold it",
                );
            }
            self.check_unique("replica", listed.iter().map(|r| (shard.span(), r.to_string())));
            for replica in listed.iter().filter(|r| replicas.binary_search(r).is_err()) {
                let message = format!("shard {name} names replica {replica}, which is not declared");
                self.problem(shard.span(), message, "add a [[replica]] table or correct the name");
            }
        }
    }

    fn check_snapshots(&mut self, declaration: &Declaration) {
        if declaration.snapshots.is_empty() {
            self.problem(declaration.service.span(), "no snapshot declared", "add a [[snapshot]] table");
        }
        let snapshots = &declaration.snapshots;
        self.check_unique("snapshot", snapshots.iter().map(|s| (s.span(), s.get_ref().id.to_string())));
        for snapshot in snapshots {
            let placement = snapshot.get_ref().placement;
            if !declaration.placements.iter().any(|p| p.get_ref().id == placement) {
                let message = format!(
                    "snapshot {} names placement {placement}, which is not declared",
                    snapshot.get_ref().id
                );
                self.problem(snapshot.span(), message, "add a [[placement]] table or correct the number");
            }
        }
    }

    fn check_unique(&mut self, what: &str, items: impl Iterator<Item = (Range<usize>, String)>) {
        let mut seen: Vec<String> = Vec::new();
        for (span, item) in items {
            match seen.binary_search(&item) {
                Ok(_) => self.problem(span, format!("{what} {item} is declared twice"), "remove one of them"),
                Err(at) => seen.insert(at, item),
            }
        }
    }
}

fn build(declaration: Declaration) -> Service {
    let name = declaration.service.into_inner();
    let block = declaration.block.unwrap_or_else(|| {
        BlockName::new(name.as_str()).expect("service and block names have the same rules")
    });
    let mut service = Service {
        name,
        group: declaration.group,
        block,
        slots: declaration.slots.into_inner(),
        connections: declaration.connections.into_inner(),
        hedge_percent: declaration.hedge_percent.into_inner(),
        retry_percent: declaration.retry_percent.into_inner(),
        classes: declaration.classes.into_iter().map(|c| build_class(c.into_inner())).collect(),
        replicas: declaration.replicas.into_iter().map(|r| build_replica(r.into_inner())).collect(),
        placements: declaration.placements.into_iter().map(|p| build_placement(p.into_inner())).collect(),
        snapshots: declaration.snapshots.into_iter().map(|s| build_snapshot(s.get_ref())).collect(),
    };
    service.classes.sort_by(|a, b| a.name.cmp(&b.name));
    service.replicas.sort_by(|a, b| a.name.cmp(&b.name));
    service.placements.sort_by_key(|placement| placement.id);
    service.snapshots.sort_by_key(|snapshot| snapshot.id);
    service
}

fn build_class(class: crate::declaration::ClassDeclaration) -> Class {
    Class {
        name: class.name,
        rank: class.rank,
        time_budget_ms: class.time_budget_ms,
        min_coverage: class.min_coverage,
        below_minimum: class.below_minimum,
    }
}

fn build_replica(replica: crate::declaration::ReplicaDeclaration) -> Replica {
    Replica {
        name: replica.name,
        address: replica.address,
        host: replica.host,
        data_centre: replica.data_centre,
    }
}

fn build_snapshot(snapshot: &crate::declaration::SnapshotDeclaration) -> Snapshot {
    Snapshot { id: SnapshotId(snapshot.id), placement: PlacementId(snapshot.placement) }
}

fn build_placement(placement: PlacementDeclaration) -> Placement {
    let mut shards: Vec<ShardReplicas> = placement
        .shards
        .into_iter()
        .map(Spanned::into_inner)
        .map(|shard| ShardReplicas { name: shard.name, replicas: shard.replicas })
        .collect();
    shards.iter_mut().for_each(|shard| shard.replicas.sort());
    shards.sort_by(|a, b| a.name.cmp(&b.name));
    Placement { id: PlacementId(placement.id), shards }
}
