//! The health report of a target, which may be stale or wrong.

use egret_model::{Incarnation, PlacementId, SnapshotId, record};

record! {
    /// The phase of a target's life cycle.
    #[derive(derive_more::Display)]
    pub enum TargetPhase {
        /// The target loads its data.
        #[display("starting")]
        Starting,
        /// The target takes work.
        #[display("ready")]
        Ready,
        /// The target finishes its running work and takes no more.
        #[display("draining")]
        Draining,
    }
}

record! {
    /// A snapshot that a target holds.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct HeldSnapshot {
        /// The identifier of the snapshot.
        pub snapshot: SnapshotId,
        /// The placement by which the target holds the snapshot's shards.
        pub placement: PlacementId,
    }
}

record! {
    /// The load that a target reports.
    #[derive(Default, Eq)]
    pub struct TargetLoad {
        /// Requests that are running.
        pub running: u32,
        /// Requests that wait in the target's own queue.
        pub queued: u32,
    }
}

record! {
    /// The reply of a target to a health check.
    #[derive(Eq)]
    pub struct TargetHealth {
        /// The run of the target; a new value means that it was restarted.
        pub incarnation: Incarnation,
        /// The phase that the target is in.
        pub phase: TargetPhase,
        /// The snapshots that it holds.
        pub snapshots: Vec<HeldSnapshot>,
        /// The load, zero if the target does not report it.
        #[serde(default)]
        pub load: TargetLoad,
    }
}
