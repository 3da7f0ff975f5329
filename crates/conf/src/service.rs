//! A validated service.

use egret_model::{BlockName, ClassName, GroupName, PlacementId, ServiceName, SnapshotId, record};

use crate::{Class, ContentHash, Placement, Replica, Snapshot};

record! {
    /// A service from its validated declaration, with every list sorted.
    pub struct Service {
        /// The service's name.
        pub name: ServiceName,
        /// The group that callers may query as a whole.
        pub group: GroupName,
        /// The block that the service belongs to; one relay owns all connections of a block.
        pub block: BlockName,
        /// The number of requests that each replica runs concurrently.
        pub slots: u16,
        /// The number of connections that each replica accepts.
        pub connections: u16,
        /// The hedge budget, as a percentage of sub-requests.
        pub hedge_percent: f64,
        /// The retry budget, as a percentage of sub-requests.
        pub retry_percent: f64,
        /// The classes of work, sorted by name.
        pub classes: Vec<Class>,
        /// The replicas, sorted by name.
        pub replicas: Vec<Replica>,
        /// The placements, sorted by identifier.
        pub placements: Vec<Placement>,
        /// The snapshots, sorted from oldest to newest.
        pub snapshots: Vec<Snapshot>,
    }
}

impl Service {
    /// Finds a class of work by name.
    #[must_use]
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        let at = self.classes.binary_search_by(|class| class.name.cmp(name)).ok()?;
        Some(&self.classes[at])
    }

    /// Finds the placement that serves a snapshot.
    #[must_use]
    pub fn placement_of(&self, snapshot: SnapshotId) -> Option<&Placement> {
        let at = self.snapshots.binary_search_by_key(&snapshot, |s| s.id).ok()?;
        self.placement(self.snapshots[at].placement)
    }

    /// Finds a placement by identifier.
    #[must_use]
    pub fn placement(&self, id: PlacementId) -> Option<&Placement> {
        let at = self.placements.binary_search_by_key(&id, |placement| placement.id).ok()?;
        Some(&self.placements[at])
    }

    /// Serialises the service as the value that is published and hashed.
    ///
    /// # Panics
    /// Never: a validated service can always be serialised as JSON.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a validated service can be serialised as JSON")
    }

    /// Returns the content hash under which the service is published.
    #[must_use]
    pub fn hash(&self) -> ContentHash {
        ContentHash::of(self.to_value())
    }
}
