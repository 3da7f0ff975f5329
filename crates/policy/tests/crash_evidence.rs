//! A request that crashes all targets that a host knows is blamed for it, and a cut link is not.

use std::time::Duration;

use egret_policy::{ConnectOutcome, CrashEvidence};

const REFUSED: &[ConnectOutcome] = &[ConnectOutcome::Refused; 3];

/// All four targets that the host knows refuse connections, and the request was sent to each.
const ALL_CRASHED: CrashEvidence<'static> = CrashEvidence {
    target: ConnectOutcome::Refused,
    others: REFUSED,
    is_only_target: false,
    accounts_for_all: true,
    heard_age: Some(Duration::from_millis(200)),
};

#[test]
fn a_request_that_was_sent_to_all_targets_which_refuse_connections_now_crashed_them() {
    assert!(ALL_CRASHED.is_crash());
}

#[test]
fn a_target_that_can_be_reached_was_not_crashed() {
    assert!(!CrashEvidence { target: ConnectOutcome::Opened, ..ALL_CRASHED }.is_crash());
}

#[test]
fn a_target_that_is_down_beside_one_that_can_be_reached_was_crashed() {
    let others = &[ConnectOutcome::Silent, ConnectOutcome::Opened];
    let evidence = CrashEvidence { others, accounts_for_all: false, heard_age: None, ..ALL_CRASHED };
    assert!(evidence.is_crash());
    assert!(CrashEvidence { target: ConnectOutcome::Silent, ..evidence }.is_crash());
}

#[test]
fn a_host_that_lost_its_links_blames_no_request() {
    let cut = [
        // Targets went down that did not have the request.
        CrashEvidence { accounts_for_all: false, ..ALL_CRASHED },
        // The targets are silent.
        CrashEvidence { target: ConnectOutcome::Silent, ..ALL_CRASHED },
        CrashEvidence { others: &[ConnectOutcome::Refused, ConnectOutcome::Silent], ..ALL_CRASHED },
        // Neither the store nor another host is heard from.
        CrashEvidence { heard_age: None, ..ALL_CRASHED },
        CrashEvidence { heard_age: Some(Duration::from_secs(10)), ..ALL_CRASHED },
    ];
    for evidence in cut {
        assert!(!evidence.is_crash(), "{evidence:?}");
    }
}
