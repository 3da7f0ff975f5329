//! The merge of the parts that shards return for one request.

use bytes::Bytes;

/// The size of one record, in bytes; a shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, greatest first.
///
/// Records compare byte by byte. Equal records are all kept: duplicates are not removed.
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
