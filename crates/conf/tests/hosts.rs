//! Host lists and the changes between them.

use egret_conf::{Host, HostList, HostState, HostsUpdate, hosts_update};
use egret_model::{DataCentre, HostName};
use quickcheck::{Gen, QuickCheck};

fn host(number: u8, is_leaving: bool) -> Host {
    Host {
        name: HostName::new(format!("host-{number}")).unwrap(),
        data_centre: DataCentre::new("seeb").unwrap(),
        state: if is_leaving { HostState::Leaving } else { HostState::Live },
        agent: None,
        relay: Some(([127, 0, 0, 1], 7000 + u16::from(number)).into()),
        entry: None,
    }
}

fn list(revision: u64, hosts: &[(u8, bool)]) -> HostList {
    let mut list = HostList { revision, hosts: Vec::new() };
    list.hosts = hosts.iter().map(|(number, is_leaving)| host(number % 16, *is_leaving)).collect();
    list.sort();
    list.hosts.dedup_by(|a, b| a.name == b.name);
    list
}

/// The changes bring a peer at any older revision to the newest list.
fn update_leads_to_the_newest(steps: Vec<Vec<(u8, bool)>>, from: usize) -> bool {
    let lists: Vec<HostList> =
        steps.iter().enumerate().map(|(at, hosts)| list(at as u64 + 1, hosts)).collect();
    let Some(newest) = lists.last() else { return true };
    let recent: Vec<_> = lists.windows(2).map(|pair| pair[0].change_to(&pair[1])).collect();
    let mut peer = lists[from % lists.len()].clone();
    if peer.revision == newest.revision {
        return true;
    }
    let update = hosts_update(newest, &recent, peer.revision);
    matches!(update, HostsUpdate::Changes(_)) && peer.apply_update(update) && peer == *newest
}

#[test]
fn changes_lead_any_peer_to_the_newest_list() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 7))
        .tests(500)
        .quickcheck(update_leads_to_the_newest as fn(Vec<Vec<(u8, bool)>>, usize) -> bool);
}

#[test]
fn an_update_that_does_not_connect_changes_nothing() {
    let old = list(1, &[(1, false)]);
    let (mid, new) = (list(2, &[(1, false), (2, false)]), list(3, &[(2, true)]));
    let gap = HostsUpdate::Changes(vec![old.change_to(&mid), old.change_to(&new)]);
    let mut peer = old.clone();
    assert!(!peer.apply_update(gap));
    assert_eq!(peer, old);
    assert!(!peer.apply_update(HostsUpdate::Changes(Vec::new())));
    let mut newest = new.clone();
    assert!(!newest.apply_update(HostsUpdate::Whole(old)), "an older list is rejected");
    assert_eq!(newest, new);
}

#[test]
fn a_peer_that_missed_too_many_changes_gets_the_whole_list() {
    let newest = list(9, &[(1, false)]);
    assert_eq!(hosts_update(&newest, &[], 3), HostsUpdate::Whole(newest.clone()));
    let mut starting = HostList::default();
    assert!(starting.apply_update(hosts_update(&newest, &[], 0)));
    assert_eq!(starting, newest);
}
