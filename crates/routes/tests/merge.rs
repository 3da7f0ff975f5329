//! The incremental selection of a part's records agrees with the merge of whole parts.

use bytes::Bytes;
use egret_routes::{RECORD_BYTES, TopRecords, merge_top_records};
use quickcheck::quickcheck;

quickcheck! {
    /// The selected records do not depend on how the part's bytes are split on arrival.
    fn records_do_not_depend_on_how_a_part_is_split(part: Vec<u8>, cuts: Vec<usize>, top: u8) -> bool {
        let part: Vec<u8> = part.iter().flat_map(|byte| byte.wrapping_mul(7).to_be_bytes().repeat(5)).collect();
        let top = usize::from(top % 12);
        let mut records = TopRecords::new(top);
        let mut rest = &part[..];
        for cut in cuts {
            let (piece, later) = rest.split_at(cut % (rest.len() + 1));
            records.add(piece);
            rest = later;
        }
        records.add(rest);
        records.finish() == merge_top_records(&[Bytes::from(part)], top)
    }
}

#[test]
fn the_greatest_records_of_a_long_part_are_kept() {
    let mut records = TopRecords::new(2);
    for round in 0..10_000_u32 {
        let byte = (round % 251) as u8;
        records.add(&[byte; RECORD_BYTES]);
    }
    assert_eq!(records.finish(), [[250; RECORD_BYTES], [250; RECORD_BYTES]].concat());
}
