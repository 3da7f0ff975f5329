//! Coverage, combined outcomes and the validation of names.

use egret_model::{Coverage, MissCause, Ran, ServiceName, ShardId};
use quickcheck::{Gen, QuickCheck};

fn shard(number: u8) -> ShardId {
    ShardId::new(format!("service-{}", number % 4), format!("s{}", number % 8)).unwrap()
}

/// For any order of operations, no shard is in both lists, both lists are sorted, and a covered
/// shard stays covered.
fn lists_stay_consistent(operations: Vec<(bool, u8)>) -> bool {
    let mut coverage = Coverage::default();
    let mut covered: Vec<ShardId> = Vec::new();
    for (is_covered, number) in operations {
        let shard = shard(number);
        if is_covered {
            let new = !covered.contains(&shard);
            if coverage.cover(shard.clone()) != new {
                return false;
            }
            if new {
                covered.push(shard);
            }
        } else {
            coverage.miss(shard, MissCause::Deadline);
        }
    }
    covered.sort();
    let disjoint = coverage.missing().iter().all(|missing| !covered.contains(&missing.shard));
    coverage.covered() == covered && disjoint && coverage.missing().is_sorted()
}

#[test]
fn coverage_lists_are_disjoint_and_sorted() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 3)).tests(500);
    check.quickcheck(lists_stay_consistent as fn(Vec<(bool, u8)>) -> bool);
}

#[test]
fn a_request_counts_as_not_run_only_if_no_part_ran() {
    use Ran::{No, Unknown, Yes};
    for (parts, whole) in
        [(vec![], No), (vec![No, No], No), (vec![No, Unknown], Unknown), (vec![Unknown, Yes, No], Yes)]
    {
        assert_eq!(parts.iter().fold(No, |sum, part| sum.combine(*part)), whole, "{parts:?}");
    }
}

#[test]
fn invalid_names_are_rejected_with_a_remedy() {
    for name in ["", "Upper", "with space", "a/b", &"x".repeat(65)] {
        let error = ServiceName::new(name).unwrap_err();
        assert!(error.to_string().contains("use 1 to 64"), "{error}");
    }
}
