//! Promise 7: a graceful shutdown cuts off no request in flight.
//!
//! A daemon that stops too early, or that others keep using while it stops, fails queries
//! or makes them miss shards.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use egret_proofs::{Fleet, FleetSpec, Role};
use egret_standin::Behaviour;
use nix::sys::signal::Signal;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// The notice of 500 ms and the grace of 5 s with which the fleet's daemons run.
const ENDS_WITHIN: Duration = Duration::from_millis(5500);

/// Sends queries without pause until `stop`; returns how many, and the failed or partial ones.
///
/// Like the platform's balancer, each caller skips entries that do not report ready.
async fn send_load(fleet: Arc<Fleet>, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let mut tasks = JoinSet::new();
    for caller in 0..6_u64 {
        let (fleet, stop) = (Arc::clone(&fleet), Arc::clone(&stop));
        tasks.spawn(async move {
            let clients: Vec<_> = (0..fleet.spec().hosts).map(|host| fleet.client_of(host)).collect();
            let (mut sent, mut cut) = (0, Vec::new());
            while !stop.load(Ordering::SeqCst) {
                let host = (sent + caller as usize) % clients.len();
                sent += 1;
                if !fleet.is_ready(host, Role::Entry).await {
                    continue;
                }
                match clients[host].query_once(&fleet.lookup(caller)).await {
                    Ok(answer) if answer.missing.is_empty() => {}
                    Ok(answer) => cut.push(format!("missing {:?}", answer.missing[0])),
                    Err(error) => cut.push(error.to_string()),
                }
            }
            (sent, cut)
        });
    }
    let results = tasks.join_all().await;
    let sent = results.iter().map(|result| result.0).sum();
    (sent, results.into_iter().flat_map(|result| result.1).collect())
}

async fn shut_down_under_load(role: Role) {
    let behaviour = Behaviour { service_us: 20_000, slots: 8, ..FleetSpec::default().behaviour };
    let spec = FleetSpec { slots: 8, behaviour, ..FleetSpec::default() };
    let fleet = Arc::new(Fleet::start(spec).await);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_load(Arc::clone(&fleet), Arc::clone(&stop)));
    for host in 0..2 {
        sleep(Duration::from_millis(500)).await;
        fleet.signal(host, role, Signal::SIGTERM);
        let signalled = Instant::now();
        while fleet.exit_code(host, role).is_none() {
            assert!(
                signalled.elapsed() < ENDS_WITHIN,
                "the {role:?} of host {host} does not end within {ENDS_WITHIN:?}"
            );
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(fleet.exit_code(host, role), Some(0));
        fleet.start_daemon(host, role);
        fleet.wait_daemon_ready(host, role).await;
        sleep(Duration::from_millis(1000)).await;
    }
    stop.store(true, Ordering::SeqCst);
    let (sent, cut) = load.await.unwrap();
    assert!(sent > 100, "only {sent} requests were sent");
    assert_eq!(cut, Vec::<String>::new(), "requests were cut off, of {sent} sent");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_shuts_down_without_cutting_off_requests() {
    shut_down_under_load(Role::Entry).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_shuts_down_without_cutting_off_requests() {
    shut_down_under_load(Role::Relay).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_shuts_down_without_cutting_off_requests() {
    shut_down_under_load(Role::Agent).await;
}
