//! Incremental selection of the greatest records of one part.

use bytes::Bytes;

use crate::merge::{RECORD_BYTES, merge_top_records};

/// Selects the greatest records of a part as its bytes arrive, however long the part is.
///
/// A merge needs no others, so a part is limited to memory for about twice the records of an
/// answer.
#[derive(Clone, Debug)]
pub struct TopRecords {
    top: usize,
    /// Complete records, then the beginning of the next one.
    kept: Vec<u8>,
}

impl TopRecords {
    /// Creates a selection of the `top` greatest records.
    #[must_use]
    pub fn new(top: usize) -> Self {
        Self { top, kept: Vec::new() }
    }

    /// Adds received bytes, which may end in the middle of a record.
    pub fn add(&mut self, mut data: &[u8]) {
        let kept_max = (2 * self.top + 1) * RECORD_BYTES;
        while !data.is_empty() {
            let free = kept_max - self.kept.len();
            let (head, rest) = data.split_at(free.min(data.len()));
            self.kept.extend_from_slice(head);
            data = rest;
            if self.kept.len() == kept_max {
                self.drop_least();
            }
        }
    }

    /// Returns the greatest records; an incomplete record at the end is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        merge_top_records(&[self.kept.into()], self.top)
    }

    fn drop_least(&mut self) {
        let full = Bytes::from(std::mem::take(&mut self.kept));
        self.kept = merge_top_records(&[full], self.top).into();
    }
}
