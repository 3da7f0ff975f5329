//! Promise 7: a graceful shutdown cuts off no request in flight.

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

/// What the daemons of the fleet state: 500 ms of notice and 5 s of grace.
const ENDS_WITHIN: Duration = Duration::from_millis(5500);

/// Asks without pause and returns how many requests were asked and cut.
///
/// Each caller follows readiness as the platform's balancer does.
async fn trickle(fleet: Arc<Fleet>, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let mut tasks = JoinSet::new();
    for caller in 0..6_u64 {
        let (fleet, stop) = (Arc::clone(&fleet), Arc::clone(&stop));
        tasks.spawn(async move {
            let clients: Vec<_> = (0..fleet.spec().hosts).map(|host| fleet.client_of(host)).collect();
            let (mut asked, mut cut) = (0, Vec::new());
            while !stop.load(Ordering::SeqCst) {
                let host = (asked + caller as usize) % clients.len();
                asked += 1;
                if !fleet.is_ready(host, Role::Entry).await {
                    continue;
                }
                match clients[host].query_once(&fleet.lookup(caller)).await {
                    Ok(answer) if answer.missing.is_empty() => {}
                    Ok(answer) => cut.push(format!("missing {:?}", answer.missing[0])),
                    Err(error) => cut.push(error.to_string()),
                }
            }
            (asked, cut)
        });
    }
    let ends = tasks.join_all().await;
    let asked = ends.iter().map(|end| end.0).sum();
    (asked, ends.into_iter().flat_map(|end| end.1).collect())
}

async fn shut_down_under_load(role: Role) {
    let behaviour = Behaviour { service_us: 20_000, slots: 8, ..FleetSpec::default().behaviour };
    let spec = FleetSpec { slots: 8, behaviour, ..FleetSpec::default() };
    let fleet = Arc::new(Fleet::start(spec).await);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(trickle(Arc::clone(&fleet), Arc::clone(&stop)));
    for host in 0..2 {
        sleep(Duration::from_millis(500)).await;
        fleet.signal(host, role, Signal::SIGTERM);
        let signalled = Instant::now();
        while fleet.exit_code(host, role).is_none() {
            assert!(signalled.elapsed() < ENDS_WITHIN, "{role:?} does not end within its grace");
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(fleet.exit_code(host, role), Some(0));
        fleet.start_daemon(host, role);
        fleet.wait_daemon_ready(host, role).await;
        sleep(Duration::from_millis(1000)).await;
    }
    stop.store(true, Ordering::SeqCst);
    let (asked, cut) = load.await.unwrap();
    assert!(asked > 100, "only {asked} requests were asked");
    assert_eq!(cut, Vec::<String>::new(), "requests were cut off, of {asked}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_shuts_down_without_a_cut() {
    shut_down_under_load(Role::Entry).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_shuts_down_without_a_cut() {
    shut_down_under_load(Role::Relay).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_shuts_down_without_a_cut() {
    shut_down_under_load(Role::Agent).await;
}
