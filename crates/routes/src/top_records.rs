//! The greatest records of one part, while it arrives.

use bytes::Bytes;

use crate::merge::{RECORD_BYTES, merge_top_records};

/// Keeps the greatest records of a part while it arrives, however long it is.
///
/// A merge needs no others, so a part takes no more memory than twice its share of the answer.
#[derive(Clone, Debug)]
pub struct TopRecords {
    top: usize,
    /// Whole records, and the beginning of the next one.
    kept: Vec<u8>,
}

impl TopRecords {
    /// Starts a part of which so many records count.
    #[must_use]
    pub fn new(top: usize) -> Self {
        Self { top, kept: Vec::new() }
    }

    /// Adds bytes, which may break records anywhere.
    pub fn add(&mut self, mut data: &[u8]) {
        let kept_max = (2 * self.top + 1) * RECORD_BYTES;
        while !data.is_empty() {
            let room = kept_max - self.kept.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.kept.extend_from_slice(now);
            data = later;
            if self.kept.len() == kept_max {
                self.drop_least();
            }
        }
    }

    /// Returns the greatest records; a remainder that is no record is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        merge_top_records(&[self.kept.into()], self.top)
    }

    fn drop_least(&mut self) {
        let whole = Bytes::from(std::mem::take(&mut self.kept));
        self.kept = merge_top_records(&[whole], self.top).into();
    }
}
