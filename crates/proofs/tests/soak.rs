//! Promise 10: no promise breaks under faults that are drawn from a seed and that overlap and repeat.
//!
//! It guards against failures that need several faults at once, which the tests of single
//! faults cannot show. CI runs a fixed set of seeds; `scripts/soak --seeds A..B` runs any.

use std::{sync::Arc, time::Duration};

use egret_proofs::{
    BidOutcomes, Fleet, FleetSpec, Role, SnapshotPlan, assert_at_most_once, assert_valid_answer,
    verify_not_run,
};
use egret_standin::{Behaviour, PlatformMode};
use nix::sys::signal::Signal;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const CI_SEEDS: &str = "1..5";
const LENGTH: Duration = Duration::from_secs(4);
/// How often a caller sends one unanswered bid.
const TRIES: usize = 3;

/// A fault that the soak injects.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize, Role),
    Pause(usize, Role),
    Terminate(usize, Role),
    Platform(PlatformMode),
    Crash(usize, usize),
    Slow(usize, usize),
    Truncate(usize, usize),
    Confuse(usize, usize),
    Shed(usize, usize),
    Publish,
    NextSnapshot,
}

fn draw_fault(random: &mut fastrand::Rng, spec: &FleetSpec) -> Fault {
    let host = random.usize(..spec.hosts);
    let role = [Role::Agent, Role::Relay, Role::Entry][random.usize(..3)];
    let (service, replica) = (random.usize(..spec.services), random.usize(..spec.replicas));
    match random.u8(..11) {
        0 => Fault::Kill(host, role),
        1 => Fault::Pause(host, role),
        2 => Fault::Terminate(host, role),
        3 => Fault::Platform([PlatformMode::Down, PlatformMode::Stale][random.usize(..2)]),
        4 => Fault::Crash(service, replica),
        5 => Fault::Slow(service, replica),
        6 => Fault::Truncate(service, replica),
        7 => Fault::Confuse(service, replica),
        8 => Fault::Shed(service, replica),
        9 => Fault::Publish,
        _ => Fault::NextSnapshot,
    }
}

struct Soak {
    fleet: Arc<Fleet>,
    normal_behaviour: Behaviour,
    snapshot: std::sync::atomic::AtomicU64,
}

impl Soak {
    /// Injects a fault and, if it can be undone, undoes it after `duration`.
    async fn inject(&self, fault: Fault, duration: Duration) {
        let fleet = &self.fleet;
        let set_behaviour = |service: usize, replica: usize, behaviour: Behaviour| {
            let held = fleet.targets[service][replica].behaviour().snapshots;
            fleet.targets[service][replica].set(Behaviour { snapshots: held, ..behaviour });
        };
        match fault {
            Fault::Kill(host, role) => {
                fleet.signal(host, role, Signal::SIGKILL);
                sleep(duration).await;
                fleet.start_daemon(host, role);
            }
            Fault::Terminate(host, role) => {
                fleet.signal(host, role, Signal::SIGTERM);
                sleep(duration + Duration::from_millis(700)).await;
                fleet.start_daemon(host, role);
            }
            Fault::Pause(host, role) => {
                fleet.signal(host, role, Signal::SIGSTOP);
                sleep(duration).await;
                fleet.signal(host, role, Signal::SIGCONT);
            }
            Fault::Platform(mode) => {
                fleet.platform.set_mode(mode);
                sleep(duration).await;
                fleet.platform.set_mode(PlatformMode::Up);
            }
            Fault::Crash(service, replica) => fleet.targets[service][replica].crash(),
            Fault::Publish => {
                fleet.publish(|declared| declared.spec.slots = 2 + declared.spec.slots % 3);
            }
            Fault::NextSnapshot => self.next_snapshot(duration).await,
            Fault::Slow(service, replica)
            | Fault::Truncate(service, replica)
            | Fault::Confuse(service, replica)
            | Fault::Shed(service, replica) => {
                let normal = self.normal_behaviour.clone();
                let faulty = match fault {
                    Fault::Slow(..) => Behaviour { slow_share: 0.5, slow_factor: 100.0, ..normal },
                    Fault::Truncate(..) => Behaviour { truncates: true, ..normal },
                    Fault::Confuse(..) => Behaviour { confuses: true, ..normal },
                    _ => Behaviour { sheds: true, ..normal },
                };
                set_behaviour(service, replica, faulty);
                sleep(duration).await;
                set_behaviour(service, replica, self.normal_behaviour.clone());
            }
        }
    }

    /// Publishes a new snapshot and lets the targets hold it too, one by one.
    async fn next_snapshot(&self, duration: Duration) {
        let id = 1 + self.snapshot.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let plan = SnapshotPlan { id, rotation: id as usize, shards: 2 + id as usize % 2 };
        self.fleet.publish(|declared| declared.snapshots.push(plan));
        let spec = self.fleet.spec();
        for replica in 0..spec.replicas {
            for service in 0..spec.services {
                self.fleet.set_snapshots(service, replica, &[id - 1, id]);
                sleep(duration / 10).await;
            }
        }
    }
}

/// Sends lookups until `end` and verifies each answer; returns how many were answered and refused.
async fn send_lookups(fleet: Arc<Fleet>, caller: u64, end: Instant) -> (usize, usize) {
    let client = fleet.client();
    let (mut answered, mut refused) = (0, 0);
    let mut number = caller * 100_000;
    while Instant::now() < end {
        number += 1;
        match client.query_once(&fleet.lookup(number).budget(Duration::from_millis(400))).await {
            Ok(answer) => {
                assert_valid_answer(&fleet, number, &answer);
                answered += 1;
            }
            Err(_) => refused += 1,
        }
        sleep(Duration::from_millis(10)).await;
    }
    (answered, refused)
}

async fn run_seed(seed: u64) {
    let spec = FleetSpec {
        hosts: 3,
        services: 3,
        replicas: 3,
        replicas_per_shard: 2,
        budget_ms: 400,
        ..FleetSpec::default()
    };
    let normal_behaviour = spec.behaviour.clone();
    let fleet = Arc::new(Fleet::start(spec.clone()).await);
    for service in 0..spec.services {
        (0..spec.replicas).for_each(|replica| fleet.set_snapshots(service, replica, &[1]));
    }
    let soak = Arc::new(Soak { fleet: Arc::clone(&fleet), normal_behaviour, snapshot: 1.into() });
    let end = Instant::now() + LENGTH;
    let mut callers = JoinSet::new();
    (0..3).for_each(|caller| drop(callers.spawn(send_lookups(Arc::clone(&fleet), caller, end))));
    let mut bidders = JoinSet::new();
    (0..2).for_each(|caller| drop(bidders.spawn(BidOutcomes::collect(fleet.client(), caller, TRIES, end))));
    let mut random = fastrand::Rng::with_seed(seed);
    let mut faults = JoinSet::new();
    let mut has_next_snapshot = false;
    while Instant::now() < end {
        let fault = draw_fault(&mut random, &spec);
        let duration = Duration::from_millis(random.u64(100..900));
        let gap = Duration::from_millis(random.u64(50..500));
        // Only one new snapshot: an operator publishes the next one when all targets hold the last.
        let is_second_snapshot =
            matches!(fault, Fault::NextSnapshot) && std::mem::replace(&mut has_next_snapshot, true);
        if !is_second_snapshot {
            let soak = Arc::clone(&soak);
            faults.spawn(async move { soak.inject(fault, duration).await });
        }
        sleep(gap).await;
    }
    let lookups = callers.join_all().await;
    let mut bids = BidOutcomes::default();
    bidders.join_all().await.into_iter().for_each(|one| bids.add(one));
    faults.join_all().await;
    assert_at_most_once(&fleet);
    assert_eq!(verify_not_run(&fleet.executions(), &bids.not_run), Ok(()));
    let (answered, refused) = lookups.into_iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let (done, unknown, never) = (bids.answered, bids.unknown, bids.not_run.len());
    println!(
        "seed {seed}: {answered} answered, {refused} refused; bids: {done} answered, {never} never run, {unknown} unknown"
    );
    assert!(answered > 0, "no lookup of seed {seed} was answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn seeded_faults_break_no_promise() {
    let seeds = std::env::var("EGRET_SEEDS").unwrap_or_else(|_| CI_SEEDS.to_owned());
    let (first, last) = seeds.split_once("..").expect("EGRET_SEEDS has the form A..B");
    for seed in first.parse().unwrap()..=last.parse().unwrap() {
        run_seed(seed).await;
    }
}
