//! The replicas that the registry lists and that get no requests.

use std::sync::Arc;

use egret_routes::{Evacuations, Registry, Replica};

use super::Core;
use crate::excluded_replica::ExcludedReplica;

impl Core {
    /// Records the replicas that were not installed as targets, to explain why they get no requests.
    pub(super) fn set_excluded(&self, registry: &Registry, evacuations: &Evacuations) {
        let targets = self.targets.load();
        let listed = registry.present().filter_map(|entry| entry.replica.as_ref());
        let is_target = |replica: &Replica| {
            targets.targets_of(&replica.service).iter().any(|target| target.is_same(replica))
        };
        let excluded = listed.filter(|replica| !is_target(replica)).map(|replica| ExcludedReplica {
            replica: replica.clone(),
            is_evacuated: evacuations.contains(&replica.data_centre),
        });
        self.excluded.store(Arc::new(excluded.collect()));
    }

    /// Returns the replicas that the registry lists and that get no requests.
    pub(crate) fn excluded(&self) -> Arc<Vec<ExcludedReplica>> {
        self.excluded.load_full()
    }
}
