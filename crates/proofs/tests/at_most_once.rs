//! Promise 5: a request marked as non-idempotent runs at most once.
//!
//! A ticket's home is the entry that issued it; only the home may run its request. Repeated
//! runs threaten when a caller or an entry sends again after the home was killed, paused
//! or cut off, so that the first outcome is not known.

use std::time::Duration;

use egret_client::{Client, Query};
use egret_model::{Ran, RefusalKind};
use egret_proofs::{Fleet, FleetSpec, LinkMode, Role, assert_at_most_once};
use nix::sys::signal::Signal;
use tokio::{task::JoinSet, time::sleep};

fn bid(mark: &str) -> Query {
    let body = format!(r#"{{"mark":"{mark}"}}"#);
    Query::group("desk", "file", &body).unwrap().non_idempotent().budget(Duration::from_millis(800))
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_ticket_through_any_entry_runs_once() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    let ticket = fleet.client_of(0).ticket().await.unwrap().ticket;
    let query = bid("one").ticket(&ticket);
    let mut tasks = JoinSet::new();
    for host in 0..3 {
        for _ in 0..4 {
            let (client, query) = (fleet.client_of(host), query.clone());
            tasks.spawn(async move { client.query_once(&query).await });
        }
    }
    let answers: Vec<_> = tasks.join_all().await.into_iter().map(Result::unwrap).collect();
    assert!(
        answers.iter().all(|answer| answer.query == answers[0].query),
        "the same ticket was answered with two queries"
    );
    assert_eq!(assert_at_most_once(&fleet), 6);
    let other = bid("other").ticket(&ticket);
    let error = fleet.client_of(1).query_once(&other).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (Some(RefusalKind::TicketInvalid), Ran::No));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_home_entry_never_runs_an_old_ticket() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    let ticket = fleet.client_of(0).ticket().await.unwrap().ticket;
    fleet.client_of(0).query_once(&bid("before").ticket(&ticket)).await.unwrap();
    fleet.signal(0, Role::Entry, Signal::SIGKILL);
    let error = fleet.client_of(1).query_once(&bid("before").ticket(&ticket)).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (Some(RefusalKind::TicketHomeLost), Ran::Unknown));
    fleet.start_daemon(0, Role::Entry);
    fleet.wait_daemon_ready(0, Role::Entry).await;
    for host in 0..3 {
        let error = fleet.client_of(host).query_once(&bid("before").ticket(&ticket)).await.unwrap_err();
        assert_eq!((error.kind(), error.ran()), (Some(RefusalKind::TicketHomeLost), Ran::Unknown));
    }
    assert_eq!(assert_at_most_once(&fleet), 6);
}

/// The home is paused past all timeouts and receives the request several times when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_home_entry_runs_a_resent_request_once() {
    let fleet = Fleet::start(FleetSpec::default()).await;
    let ticket = fleet.client_of(0).ticket().await.unwrap().ticket;
    fleet.signal(0, Role::Entry, Signal::SIGSTOP);
    for host in [1, 2, 1] {
        let error = fleet.client_of(host).query_once(&bid("paused").ticket(&ticket)).await.unwrap_err();
        assert_eq!((error.kind(), error.ran()), (Some(RefusalKind::TicketHomeLost), Ran::Unknown));
    }
    fleet.signal(0, Role::Entry, Signal::SIGCONT);
    let answer = fleet.client_of(1).query(&bid("paused").ticket(&ticket)).await;
    assert!(answer.is_ok(), "{answer:?}");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(assert_at_most_once(&fleet), 6);
}

/// Connections to the home break for 150 ms; the caller's entry retries within the time budget.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_a_briefly_cut_off_home_entry_is_retried() {
    let fleet = Fleet::start(FleetSpec { has_forwarders: true, ..FleetSpec::default() }).await;
    let ticket = fleet.client_of(0).ticket().await.unwrap().ticket;
    fleet.partition(&[0], LinkMode::Cut);
    let client = fleet.client_of(1);
    let query = bid("cut").ticket(&ticket);
    let answer = tokio::spawn(async move { client.query_once(&query).await });
    sleep(Duration::from_millis(150)).await;
    fleet.heal();
    let answer = answer.await.unwrap();
    assert!(answer.is_ok(), "{answer:?}");
    assert_eq!(assert_at_most_once(&fleet), 6);
}

/// Callers resend unanswered bids through all entries while daemons are killed and paused.
#[tokio::test(flavor = "multi_thread")]
async fn bids_run_at_most_once_under_kills_and_pauses() {
    let fleet = Fleet::start(FleetSpec { hosts: 4, ..FleetSpec::default() }).await;
    let mut tasks = JoinSet::new();
    for caller in 0..6 {
        let client = fleet.client();
        tasks.spawn(async move { send_bids(client, caller).await });
    }
    let faults = [
        (0, Role::Relay, Signal::SIGKILL),
        (1, Role::Entry, Signal::SIGSTOP),
        (2, Role::Relay, Signal::SIGSTOP),
        (3, Role::Entry, Signal::SIGKILL),
        (1, Role::Relay, Signal::SIGKILL),
    ];
    for (host, role, signal) in faults {
        sleep(Duration::from_millis(400)).await;
        fleet.signal(host, role, signal);
        sleep(Duration::from_millis(1200)).await;
        if signal == Signal::SIGKILL {
            fleet.start_daemon(host, role);
        } else {
            fleet.signal(host, role, Signal::SIGCONT);
        }
    }
    let outcomes: Vec<Vec<Option<Ran>>> = tasks.join_all().await;
    let all: Vec<Option<Ran>> = outcomes.into_iter().flatten().collect();
    let unknown = all.iter().filter(|outcome| **outcome == Some(Ran::Unknown)).count();
    let answered = all.iter().filter(|outcome| outcome.is_none()).count();
    println!("bids {} answered {answered} unknown {unknown}", all.len());
    assert_at_most_once(&fleet);
    assert!(answered * 2 > all.len(), "only {answered} of {} bids were answered", all.len());
}

/// Sends 25 bids; returns for each `None` if it was answered, else whether the last try ran.
async fn send_bids(client: Client, caller: usize) -> Vec<Option<Ran>> {
    let mut outcomes = Vec::new();
    for number in 0..25 {
        let Ok(ticket) = client.ticket().await else { continue };
        let query = bid(&format!("bid-{caller}-{number}")).ticket(ticket.ticket);
        // The caller sends an unanswered bid again, up to four times in all and through any entry.
        let mut outcome = None;
        for _ in 0..4 {
            match client.query_once(&query).await {
                Ok(_) => {
                    outcome = None;
                    break;
                }
                Err(error) => outcome = Some(error.ran()),
            }
        }
        outcomes.push(outcome);
        sleep(Duration::from_millis(50)).await;
    }
    outcomes
}
