//! Deletions that an outage of the store may have caused are held back, so that replicas whose
//! leases expired meanwhile keep their work.

use std::time::Instant;

use egret_front::{DELETION_HOLD, DeletionGuard};
use egret_routes::{RegistryEntry, StorePosition};

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn gone(id: &str, revision: u64) -> RegistryEntry {
    RegistryEntry { id: id.into(), position: at(revision), replica: None, gone: true }
}

#[test]
fn deletions_apply_at_once_while_the_store_answers() {
    let now = Instant::now();
    let mut guard = DeletionGuard::default();
    guard.store_answered(now);
    assert_eq!(guard.filter(now, vec![gone("a", 1)], None).len(), 1);
    assert_eq!(guard.complete_before(), None);
}

#[test]
fn deletions_after_an_outage_wait_until_replicas_can_renew_their_entries() {
    let now = Instant::now();
    let mut guard = DeletionGuard::default();
    guard.store_failed();
    guard.store_answered(now);
    assert!(guard.filter(now, vec![gone("a", 7), gone("b", 9)], None).is_empty());
    assert_eq!(guard.complete_before(), Some(at(6)));
    let back = RegistryEntry { gone: false, ..gone("a", 11) };
    assert_eq!(guard.filter(now + DELETION_HOLD / 2, vec![back.clone()], None), [back]);
    assert_eq!(guard.filter(now + DELETION_HOLD, Vec::new(), None), [gone("b", 9)]);
    assert_eq!(guard.complete_before(), None);
}
