//! Evacuations: every host ends with what the store says, in whichever order it learns of it.

use egret_routes::{EvacuationChange, Evacuations, StorePosition};
use quickcheck::{QuickCheck, TestResult};

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn change(data_centre: &str, revision: u64, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange { data_centre: data_centre.into(), position: at(revision), is_evacuated }
}

fn names(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.data_centres().iter().map(|name| &**name).collect()
}

#[test]
fn a_data_centre_is_evacuated_until_its_entry_is_deleted() {
    let mut known = Evacuations::default();
    assert!(known.apply_full_read(at(5), &[change("seeb", 3, true)]));
    assert!(known.contains("seeb") && !known.contains("barka"));
    assert!(known.apply_changes(at(9), &[change("barka", 6, true), change("seeb", 8, false)]));
    assert_eq!(names(&known), ["barka"]);
    assert!(!known.apply_changes(at(12), &[change("barka", 10, false), change("barka", 11, true)]));
    assert_eq!(names(&known), ["barka"], "put, deleted and put again");
    assert!(known.apply_full_read(at(14), &[]));
    assert_eq!(names(&known), [""; 0]);
}

/// A message that was delayed, or that comes from a host which was cut off, states an older set.
#[test]
fn an_older_set_changes_nothing() {
    let mut older = Evacuations::default();
    older.apply_full_read(at(5), &[change("seeb", 3, true)]);
    let mut newer = older.clone();
    newer.apply_changes(at(9), &[change("seeb", 8, false)]);
    assert!(!newer.merge(older.clone()));
    assert!(!newer.apply_changes(at(7), &[change("seeb", 6, true)]));
    assert!(!newer.contains("seeb"));
    assert!(older.merge(newer));
    assert!(!older.contains("seeb"));
}

/// A restored store assigns lower revisions again, in a new epoch.
#[test]
fn a_later_epoch_replaces_and_an_implausible_one_does_not() {
    let mut known = Evacuations::default();
    known.apply_full_read(at(50), &[change("seeb", 3, true)]);
    let mut restored = Evacuations::default();
    restored.apply_full_read(StorePosition::new(2, 4), &[]);
    let mut broken = Evacuations::default();
    broken.apply_full_read(StorePosition::new(u64::MAX, 4), &[change("barka", 4, true)]);
    assert!(!known.merge(broken));
    assert!(known.merge(restored));
    assert!(!known.contains("seeb"));
}

/// Hosts that read the store at different moments and exchange their sets in any order agree in the end.
#[test]
fn hosts_converge_on_the_state_of_the_store() {
    fn converge(writes: Vec<(u8, bool)>, steps: Vec<(u8, u8, bool)>) -> TestResult {
        const HOSTS: usize = 3;
        let log: Vec<EvacuationChange> = (1_u64..)
            .zip(&writes)
            .map(|(revision, &(zone, put))| change(&format!("dc-{}", zone % 3), revision, put))
            .collect();
        let mut hosts = vec![Evacuations::default(); HOSTS];
        for (written, (host, other, reads)) in steps.into_iter().enumerate() {
            let (host, other) = (usize::from(host) % HOSTS, usize::from(other) % HOSTS);
            let until = written.min(log.len());
            if reads {
                let from = hosts[host].as_of().revision as usize;
                hosts[host].apply_changes(at(until as u64), &log[from.min(until)..until]);
            } else {
                let sent = hosts[other].clone();
                hosts[host].merge(sent);
            }
        }
        let from = hosts[0].as_of().revision as usize;
        hosts[0].apply_changes(at(log.len() as u64), &log[from..]);
        let last = hosts[0].clone();
        hosts[1..].iter_mut().for_each(|host| {
            host.merge(last.clone());
        });
        let is_put = |zone: u8| writes.iter().rev().find(|(z, _)| z % 3 == zone).is_some_and(|(_, put)| *put);
        TestResult::from_bool(
            (0..3).all(|zone| hosts.iter().all(|host| host.contains(&format!("dc-{zone}")) == is_put(zone))),
        )
    }
    QuickCheck::new().quickcheck(converge as fn(Vec<(u8, bool)>, Vec<(u8, u8, bool)>) -> TestResult);
}
