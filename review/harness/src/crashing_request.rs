//! A request crashes each replica that begins to run it, and comes again at any machine.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::client::{Ask, Outcome, request};
use crate::crashing::{CrashingReplica, Work};
use crate::host::{Fleet, Host, loopback_ips, remove, temporary_folder};
use crate::judge::late_retries;
use crate::random::Random;
use crate::replica::{Run, Runs};
use crate::store::Store;
use crate::{Record, Verdict};

const HOSTS: usize = 10;
const REPLICAS: usize = 12;
/// Ordinary requests; the replicas could run three times as many.
const PER_SECOND: u64 = 60;
const CRASHING_AFTER: Duration = Duration::from_millis(3000);
const CRASHING_EVERY: Duration = Duration::from_millis(150);
const LENGTH: Duration = Duration::from_millis(72_000);
const BUDGET_MS: u64 = 5000;
const CRASHING_PATH: &str = "/one/bad";

pub fn play(record: &mut Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let store = Store::spawn();
    let runs = Runs::default();
    let work = Work { time: Duration::from_millis(220), slots: 4, queue: 16, crashes_on: CRASHING_PATH };
    for copy in 0..REPLICAS {
        let id = format!("i-{copy}");
        let replica = CrashingReplica::spawn(&id, "s0", &work, Runs::clone(&runs));
        store.put(&format!("servers/{id}"), &replica.entry("seeb"));
    }
    store.put("op/config", &config());
    let fleet =
        Fleet { folder: folder.clone(), store: store.address, zone: "seeb", ips: loopback_ips(HOSTS) };
    let hosts: Vec<Host> = (0..HOSTS).map(|at| fleet.spawn_host(at)).collect();
    hosts.iter().for_each(Host::wait_ready);
    std::thread::sleep(Duration::from_millis(5000));
    let outcomes = ask(&hosts, trouble);
    let mut runs = runs.lock().expect("no panic").clone();
    runs.sort_by_key(|run| run.at);
    for outcome in &outcomes {
        let Outcome { id, path, host, sent_at, took, status, end, .. } = outcome;
        record.at(*sent_at, &format!("{host} {id} {path}: {status} {end} after {} ms", took.as_millis()));
    }
    for run in &runs {
        record.at(run.at, &format!("run {} {} at {} of {}", run.id, run.path, run.replica, run.service));
    }
    drop(hosts);
    remove(&folder);
    judge(record, &outcomes, &runs)
}

/// Sends ordinary requests and, with the disruption, the crashing one, each to a machine drawn at random.
fn ask(hosts: &[Host], trouble: bool) -> Vec<Outcome> {
    let mut random = Random::new();
    let (tx, rx) = mpsc::channel();
    let began_at = Instant::now();
    let mut crashing_at = began_at + CRASHING_AFTER;
    let mut number = 0_u64;
    while began_at.elapsed() < LENGTH {
        let crashes = trouble && Instant::now() >= crashing_at;
        if crashes {
            crashing_at += CRASHING_EVERY;
        }
        let path = if crashes { CRASHING_PATH.to_owned() } else { format!("/one/{number}") };
        let (tx, host) = (tx.clone(), hosts[random.below(hosts.len())].callers);
        let id = format!("{:016x}", 0x5e7a_0000_0000_u64 + number);
        std::thread::spawn(move || {
            let ask = Ask { method: "POST", path: &path, id: &id, deadline_ms: BUDGET_MS, body: b"" };
            let _ = tx.send(request(host, &ask));
        });
        number += 1;
        std::thread::sleep(Duration::from_millis(1000 / PER_SECOND));
    }
    drop(tx);
    let mut outcomes: Vec<Outcome> = rx.into_iter().collect();
    outcomes.sort_by_key(|outcome| outcome.sent_at);
    outcomes
}

/// BUDGET: "A request that crashes the replicas that run it reaches replicas in more than three retries, sent by
/// machines in touch later than `stable_window_ms` after it has crashed the third."
fn judge(record: &mut Record, outcomes: &[Outcome], runs: &[Run]) -> Verdict {
    let crashes: Vec<&Run> = runs.iter().filter(|run| run.path == CRASHING_PATH).collect();
    let late = late_retries(&crashes, outcomes).len();
    let ordinary: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.path != CRASHING_PATH).collect();
    let lost = ordinary.iter().filter(|outcome| outcome.status == 502).count();
    record.note(&format!(
        "the crashing request reached replicas {} times, in {late} retries later than stable_window_ms after its third \
         crash; of {} ordinary requests {lost} ended with 502",
        crashes.len(),
        ordinary.len()
    ));
    if late > 3 { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-one\",\"host\":\"wells.example\",\"prefix\":\"/one/\",\
     \"type\":\"non_idempotent\",\"timeout_ms\":5000,\"latency_goal_ms\":800,\"priority\":1,\"service\":\"s0\",\
     \"max_attempts\":2}],\"services\":[{\"name\":\"s0\",\"health_path\":\"/health\",\"max_conns\":244,\
     \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\
     \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}
