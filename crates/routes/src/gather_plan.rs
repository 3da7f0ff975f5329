//! The shards that a request is scattered to, and what its answer needs.

use std::sync::Arc;

use egret_model::{Fingerprint, record};
use xxhash_rust::xxh3::Xxh3;

use crate::Homes;

record! {
    /// The shards that a route scatters to, and what its merged answers need.
    pub struct GatherPlan {
        /// The services, each of which holds one shard.
        pub shards: Vec<Arc<str>>,
        /// The maximum number of records in an answer.
        #[serde(rename = "top")]
        pub top_k: usize,
        /// The minimum share of the shards that an answer must cover, from 0 to 1.
        pub least_share: f64,
    }
}

impl GatherPlan {
    /// Returns a hash of the shards, the record limit and the minimum share.
    ///
    /// Hosts compare it to detect that they hold different versions of a plan.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint_within(&Homes::default())
    }

    /// Returns the hash of [`Self::fingerprint`] for a request with homes, which differs for other homes.
    ///
    /// A host whose configuration gives the request other homes detects it by this, and refuses.
    #[must_use]
    pub fn fingerprint_within(&self, homes: &Homes) -> Fingerprint {
        let mut hash = self.hash_shards();
        hash.update(&self.top_k.to_le_bytes());
        hash.update(&self.least_share.to_le_bytes());
        for region in homes.regions().into_iter().flatten() {
            hash.update(region.as_bytes());
            hash.update(&[0]);
        }
        if homes.is_nowhere() {
            hash.update(&[0]);
        }
        Fingerprint(hash.digest())
    }

    /// Returns a hash of the shards alone: routes over the same index share it.
    #[must_use]
    pub fn index_hash(&self) -> u64 {
        self.hash_shards().digest()
    }

    fn hash_shards(&self) -> Xxh3 {
        let mut hash = Xxh3::new();
        for shard in &self.shards {
            hash.update(shard.as_bytes());
            hash.update(&[0]);
        }
        hash
    }

    /// Returns the minimum number of shards that an answer must cover; at least one.
    #[must_use]
    pub fn least_shards(&self) -> usize {
        // 0.9 of 20 shards must not become 19 because of floating-point error in the product.
        const ROUNDING: f64 = 1e-9;
        let needed = (self.least_share * self.shards.len() as f64 - ROUNDING).ceil();
        (needed.max(1.0) as usize).min(self.shards.len().max(1))
    }
}
