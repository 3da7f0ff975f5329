//! Registries agree whatever the order in which changes reach them.

use egret_routes::{Registry, RegistryDelta, RegistryEntry, Replica, ReplicaRun, StorePosition};

fn replica(id: &str, started_at_ms: u64, report_number: u64, draining: bool) -> Replica {
    Replica {
        id: id.into(),
        service: "vault".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "seeb".into(),
        slots: 2,
        draining,
        warm_up_ms: 0,
        started_at_ms,
        report_number,
    }
}

/// Returns a position in the only epoch of these tests.
fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn entry(id: &str, revision: u64, replica: Replica) -> RegistryEntry {
    RegistryEntry { id: id.into(), position: at(revision), replica: Some(replica), gone: false }
}

fn gone(id: &str, revision: u64) -> RegistryEntry {
    RegistryEntry { id: id.into(), position: at(revision), replica: None, gone: true }
}

#[test]
fn an_older_revision_changes_nothing() {
    let mut registry = Registry::default();
    assert!(registry.apply(entry("a", 7, replica("a", 1, 5, true))));
    assert!(!registry.apply(entry("a", 6, replica("a", 1, 4, false))));
    assert_eq!(registry.usable().count(), 0);
}

#[test]
fn a_draining_run_never_becomes_usable_again() {
    let mut registry = Registry::default();
    registry.apply(entry("a", 7, replica("a", 1, 5, true)));
    registry.apply(entry("a", 8, replica("a", 1, 4, false)));
    registry.apply(entry("a", 9, replica("a", 1, 6, false)));
    assert_eq!(registry.usable().count(), 0);
    registry.apply(gone("a", 10));
    registry.apply(entry("a", 11, replica("a", 1, 7, false)));
    assert_eq!(registry.usable().count(), 0);
}

#[test]
fn a_new_run_that_reuses_an_identifier_is_usable() {
    let mut registry = Registry::default();
    registry.apply(entry("a", 7, replica("a", 1, 5, true)));
    registry.apply(entry("a", 8, replica("a", 2, 0, false)));
    assert_eq!(registry.usable().count(), 1);
}

#[test]
fn a_delta_brings_a_registry_up_to_date() {
    let mut ahead = Registry::default();
    ahead.apply(entry("a", 1, replica("a", 1, 0, false)));
    ahead.apply(entry("b", 2, replica("b", 1, 0, false)));
    ahead.set_synced(at(2));
    let mut behind = Registry::default();
    assert!(behind.merge(ahead.delta(behind.synced(), behind.last_change())));
    ahead.apply(gone("a", 3));
    ahead.set_synced(at(3));
    let delta = ahead.delta(behind.synced(), behind.last_change());
    assert_eq!(delta.entries.len(), 1);
    assert!(behind.merge(delta));
    let left: Vec<_> = behind.usable().map(|replica| replica.id.to_string()).collect();
    assert_eq!((left, behind.synced()), (vec!["b".to_owned()], at(3)));
}

#[test]
fn a_whole_registry_deletes_entries_that_it_does_not_list() {
    let mut behind = Registry::default();
    behind.apply(entry("a", 1, replica("a", 1, 0, false)));
    behind.apply(entry("c", 9, replica("c", 1, 0, false)));
    behind.set_synced(at(1));
    let mut ahead = Registry::default();
    ahead.apply(entry("b", 4, replica("b", 1, 0, false)));
    ahead.set_synced(at(5));
    behind.merge(ahead.delta(StorePosition::default(), StorePosition::default()));
    let left: Vec<_> = behind.usable().map(|replica| replica.id.to_string()).collect();
    assert_eq!(left, ["b", "c"]);
}

/// While a deletion is withheld, `synced` stays before it. Deltas based on `synced` alone would
/// repeat every later change in every message: 56 MB in a second on a fleet of 116 hosts.
#[test]
fn known_changes_are_not_sent_again_while_a_deletion_is_withheld() {
    let mut ahead = Registry::default();
    for number in 1..=20 {
        ahead.apply(entry(&format!("r{number}"), number, replica("r", 1, 0, false)));
    }
    ahead.set_synced(at(4));
    let mut behind = Registry::default();
    behind.merge(ahead.delta(StorePosition::default(), StorePosition::default()));
    assert!(!ahead.has_updates_for(behind.synced(), behind.last_change()));
    ahead.apply(entry("r21", 21, replica("r", 1, 0, false)));
    assert!(ahead.has_updates_for(behind.synced(), behind.last_change()));
    let delta = ahead.delta(behind.synced(), behind.last_change());
    assert_eq!(delta.entries.len(), 1);
    behind.merge(delta);
    // The deletion at revision 5 is no longer withheld.
    ahead.apply(gone("r3", 5));
    ahead.set_synced(at(21));
    assert!(ahead.has_updates_for(behind.synced(), behind.last_change()));
    let delta = ahead.delta(behind.synced(), behind.last_change());
    assert_eq!(delta.entries.len(), 1);
    behind.merge(delta);
    assert_eq!((behind.usable().count(), behind.synced()), (20, at(21)));
}

fn run(id: &str, started_at_ms: u64) -> ReplicaRun {
    ReplicaRun { id: id.into(), started_at_ms }
}

#[test]
fn a_run_that_announced_that_it_leaves_never_becomes_usable_again() {
    let mut registry = Registry::default();
    registry.apply(entry("a", 7, replica("a", 1, 5, false)));
    assert!(registry.mark_leaving(run("a", 1)));
    assert!(!registry.mark_leaving(run("a", 1)), "already known");
    assert_eq!(registry.unpublished_leaving_runs().collect::<Vec<_>>(), [run("a", 1)]);
    registry.apply(gone("a", 8));
    registry.apply(entry("a", 9, replica("a", 1, 6, false)));
    assert_eq!(registry.usable().count(), 0);
    registry.apply(entry("a", 10, replica("a", 2, 0, false)));
    assert_eq!(registry.usable().count(), 1, "a new run reuses the identifier");
    assert!(!registry.mark_leaving(run("a", 1)), "an earlier run does not affect it");
    assert_eq!((registry.usable().count(), registry.unpublished_leaving_runs().count()), (1, 0));
}

#[test]
fn a_run_that_leaves_before_the_store_lists_it_is_not_usable() {
    let mut registry = Registry::default();
    assert!(registry.mark_leaving(run("a", 3)));
    registry.apply(entry("a", 7, replica("a", 3, 5, false)));
    assert_eq!(registry.usable().count(), 0);
}

/// An index is split into other shards: 540 replicas leave and 810 others stay. The tombstones of
/// all 540 must be kept, so that a host that lags behind gets a delta and not the whole registry.
#[test]
fn replacing_all_replicas_of_an_index_sends_only_the_changes() {
    let id = |kind: &str, number: u64| format!("{kind}-{number}");
    let mut ahead = Registry::default();
    for number in 0..540 {
        ahead.apply(entry(&id("old", number), number + 1, replica(&id("old", number), 1, 0, false)));
    }
    for number in 0..810 {
        ahead.apply(entry(&id("new", number), number + 1000, replica(&id("new", number), 1, 0, false)));
    }
    ahead.set_synced(at(2000));
    let mut behind = Registry::default();
    behind.merge(ahead.delta(StorePosition::default(), StorePosition::default()));
    let gone_entries = (0..540).map(|number| gone(&id("old", number), number + 2001)).collect();
    ahead.merge(RegistryDelta { synced: at(3000), is_whole: false, has_gap: false, entries: gone_entries });
    let delta = ahead.delta(behind.synced(), behind.last_change());
    assert!(!delta.is_whole);
    assert_eq!(delta.entries.len(), 540);
    behind.merge(delta);
    assert_eq!(behind.usable().count(), 810);
}
