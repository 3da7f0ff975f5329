//! Which shards an answer covers, and why the others are missing.

use crate::{MissCause, ShardId};

record! {
    /// A shard that an answer does not cover.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Missing {
        /// The shard.
        pub shard: ShardId,
        /// Why it is missing.
        pub cause: MissCause,
    }
}

record! {
    /// The shards that an answer covers and those that it misses.
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
    /// A shard that counted as missing becomes covered. A second reply for a
    /// covered shard returns `false`, and its hits must not be merged again.
    pub fn cover(&mut self, shard: ShardId) -> bool {
        let Err(at) = self.covered.binary_search(&shard) else { return false };
        if let Ok(missed) = self.find_missing(&shard) {
            self.missing.remove(missed);
        }
        self.covered.insert(at, shard);
        true
    }

    /// Adds a missing shard, unless it is covered.
    pub fn miss(&mut self, shard: ShardId, cause: MissCause) {
        if self.covered.binary_search(&shard).is_ok() {
            return;
        }
        match self.find_missing(&shard) {
            Ok(at) => self.missing[at].cause = cause,
            Err(at) => self.missing.insert(at, Missing { shard, cause }),
        }
    }

    /// Returns the covered shards in order.
    #[must_use]
    pub fn covered(&self) -> &[ShardId] {
        &self.covered
    }

    /// Returns the missing shards in order.
    #[must_use]
    pub fn missing(&self) -> &[Missing] {
        &self.missing
    }

    /// Returns covered shards as a share of all, from 0 to 1; nothing asked counts as 1.
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
