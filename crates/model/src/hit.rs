//! One record that a shard found.

use std::cmp::Ordering;

use serde_json::value::RawValue;

record! {
    /// A record found by a shard, with what decides its place in the answer.
    pub struct Hit {
        /// The record's key, unique inside the index.
        pub key: String,
        /// The score; a higher one stands earlier.
        pub score: f64,
        /// The record as JSON text, passed through unread.
        pub record: String,
    }
}

impl Hit {
    /// Orders hits for an answer: by score from high to low, then by key.
    #[must_use]
    pub fn answer_order(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then_with(|| self.key.cmp(&other.key))
    }

    /// Returns the record as raw JSON.
    ///
    /// # Errors
    /// Fails where the text is not JSON.
    pub fn raw_record(&self) -> Result<Box<RawValue>, serde_json::Error> {
        RawValue::from_string(self.record.clone())
    }
}
