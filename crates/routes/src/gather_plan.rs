//! How the parts of a query become one answer.

use std::sync::Arc;

use egret_model::{Fingerprint, record};
use xxhash_rust::xxh3::Xxh3;

record! {
    /// The shards of a route and what its answers need.
    pub struct GatherPlan {
        /// The services that hold one shard each.
        pub shards: Vec<Arc<str>>,
        /// Records of an answer, at most.
        #[serde(rename = "top")]
        pub top_k: usize,
        /// The least share of the shards that an answer needs, from 0 to 1.
        pub least_share: f64,
    }
}

impl GatherPlan {
    /// Returns a hash that tells plans apart: equal for equal shards, records and share.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        for shard in &self.shards {
            hash.update(shard.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&self.top_k.to_le_bytes());
        hash.update(&self.least_share.to_le_bytes());
        Fingerprint(hash.digest())
    }

    /// Returns the least number of shards that an answer needs; at least one.
    #[must_use]
    pub fn least_shards(&self) -> usize {
        // Shares such as 0.9 of 20 must not become 19 by rounding of the product.
        const ROUNDING: f64 = 1e-9;
        let needed = (self.least_share * self.shards.len() as f64 - ROUNDING).ceil();
        (needed.max(1.0) as usize).min(self.shards.len().max(1))
    }
}
