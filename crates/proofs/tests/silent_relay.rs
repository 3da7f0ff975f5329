//! A relay that stops responding without closing its connections must cost no answer.
//!
//! Such a relay, here a paused process, breaks no connection: an entry that only waits for
//! its reply would use up the query's time budget.

use std::time::Duration;

use egret_proofs::{Fleet, FleetSpec, Role, assert_valid_answer};
use nix::sys::signal::Signal;

/// Pauses one relay and sends a query at once, before any entry can know of the pause.
async fn a_query_is_answered_without(host: usize) {
    let fleet = Fleet::start(FleetSpec { hosts: 2, ..FleetSpec::default() }).await;
    fleet.signal(host, Role::Relay, Signal::SIGSTOP);
    let query = fleet.lookup(1).budget(Duration::from_secs(2));
    let answer = fleet.client_of(1 - host).query_once(&query).await;
    fleet.signal(host, Role::Relay, Signal::SIGCONT);
    let answer = answer.expect("the other relay serves all shards");
    assert_valid_answer(&fleet, 1, &answer);
    assert!(answer.missing.is_empty(), "{:?}", answer.missing);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_answered_while_the_first_relay_is_paused() {
    a_query_is_answered_without(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_answered_while_the_second_relay_is_paused() {
    a_query_is_answered_without(1).await;
}
