//! The merge of the parts of a gather.

use bytes::Bytes;

/// Bytes of one record; a shorter remainder of a part is no record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, greatest first.
///
/// Records compare byte by byte. Equal records all count, so nothing is dropped as a
/// duplicate.
#[must_use]
pub fn merge_top_records(parts: &[Bytes], top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat().into()
}
