//! What a target reports about itself; it may lag or mislead.

use egret_model::{Incarnation, PlacementId, SnapshotId, record};

record! {
    /// A target's phase of life.
    #[derive(derive_more::Display)]
    pub enum TargetPhase {
        /// It loads its data.
        #[display("starting")]
        Starting,
        /// It takes work.
        #[display("ready")]
        Ready,
        /// It finishes its work and takes no more.
        #[display("draining")]
        Draining,
    }
}

record! {
    /// A snapshot that a target holds.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct HeldSnapshot {
        /// The snapshot.
        pub snapshot: SnapshotId,
        /// The placement of its shards.
        pub placement: PlacementId,
    }
}

record! {
    /// The load that a target reports.
    #[derive(Default, Eq)]
    pub struct TargetLoad {
        /// Requests that it runs.
        pub running: u32,
        /// Requests that wait in it.
        pub queued: u32,
    }
}

record! {
    /// A target's health.
    #[derive(Eq)]
    pub struct TargetHealth {
        /// The target's run; a new one means that it was restarted.
        pub incarnation: Incarnation,
        /// Its phase.
        pub phase: TargetPhase,
        /// The snapshots that it holds.
        pub snapshots: Vec<HeldSnapshot>,
        /// Its load.
        #[serde(default)]
        pub load: TargetLoad,
    }
}
