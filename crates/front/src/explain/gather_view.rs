//! How a gather would run.

use egret_model::record;

use super::{AdmissionView, GathererView, Refusal, ShardView};

record! {
    /// How a gather would run.
    pub struct GatherView {
        /// The host that would be asked to gather; `None` if this host gathers itself. With a refusal, the host to which
        /// the gather would be offered instead.
        pub gatherer: Option<GathererView>,
        /// The minimum number of shards that an answer must cover.
        pub shards_min: usize,
        /// The admission on this host, if it gathers itself.
        pub admission: Option<AdmissionView>,
        /// The refusal that this host would give.
        pub refusal: Option<Refusal>,
        /// The shards, if this host gathers itself.
        pub shards: Vec<ShardView>,
    }
}
