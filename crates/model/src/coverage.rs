//! Which shards an answer covers, and why the others are missing.

use crate::{MissCause, ShardId};

record! {
    /// A shard that an answer does not cover, and the cause.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Missing {
        /// The shard.
        pub shard: ShardId,
        /// Why the shard is missing.
        pub cause: MissCause,
    }
}

record! {
    /// The shards that an answer covers and those that it lacks.
    ///
    /// Both lists are sorted by shard, and no shard is in both.
    #[derive(Default, Eq)]
    pub struct Coverage {
        covered: Vec<ShardId>,
        missing: Vec<Missing>,
    }
}

impl Coverage {
    /// Adds a covered shard and returns whether it was new.
    ///
    /// A missing shard becomes covered. If the shard is covered already, this
    /// returns `false` and the hits of the second reply must not be merged.
    pub fn cover(&mut self, shard: ShardId) -> bool {
        let Err(at) = self.covered.binary_search(&shard) else { return false };
        if let Ok(missing_at) = self.find_missing(&shard) {
            self.missing.remove(missing_at);
        }
        self.covered.insert(at, shard);
        true
    }

    /// Adds a missing shard or replaces its cause; a covered shard stays covered.
    pub fn miss(&mut self, shard: ShardId, cause: MissCause) {
        if self.covered.binary_search(&shard).is_ok() {
            return;
        }
        match self.find_missing(&shard) {
            Ok(at) => self.missing[at].cause = cause,
            Err(at) => self.missing.insert(at, Missing { shard, cause }),
        }
    }

    /// Returns the covered shards, sorted.
    #[must_use]
    pub fn covered(&self) -> &[ShardId] {
        &self.covered
    }

    /// Returns the missing shards, sorted.
    #[must_use]
    pub fn missing(&self) -> &[Missing] {
        &self.missing
    }

    /// Returns the covered share of all shards, from 0 to 1; it is 1 if there are no shards.
    #[must_use]
    pub fn share(&self) -> f64 {
        let all = self.covered.len() + self.missing.len();
        if all == 0 {
            return 1.0;
        }
        self.covered.len() as f64 / all as f64
    }

    fn find_missing(&self, shard: &ShardId) -> Result<usize, usize> {
        self.missing.binary_search_by(|missing| missing.shard.cmp(shard))
    }
}
