//! A record found by a shard.

use std::cmp::Ordering;

use serde_json::value::RawValue;

record! {
    /// A record found by a shard, with the score and the key that order it in the answer.
    pub struct Hit {
        /// The record's key, unique within the index.
        pub key: String,
        /// The score; hits with higher scores come first.
        pub score: f64,
        /// The record as JSON text, passed through without being parsed.
        pub record: String,
    }
}

impl Hit {
    /// Compares hits for the order of an answer: by score from high to low, then by key.
    #[must_use]
    pub fn answer_order(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then_with(|| self.key.cmp(&other.key))
    }

    /// Returns the record as raw JSON.
    ///
    /// # Errors
    /// Fails if the text is not JSON.
    pub fn raw_record(&self) -> Result<Box<RawValue>, serde_json::Error> {
        RawValue::from_string(self.record.clone())
    }
}
