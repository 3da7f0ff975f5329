//! A query crashes each replica of the index that begins to run it, and comes again at any machine.

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

const HOSTS: usize = 4;
/// A small index: four replicas in all.
const SHARDS: usize = 2;
const PER_SECOND: u64 = 40;
const CRASHING_AFTER: Duration = Duration::from_millis(3000);
const CRASHING_EVERY: Duration = Duration::from_millis(1000);
const LENGTH: Duration = Duration::from_millis(40_000);
/// The clients' `X-Deadline-Ms` and the route's `timeout_ms`, those of `log-sweep` on the sheet.
const BUDGET_MS: u64 = 3000;
const CRASHING_PATH: &str = "/all/bad";

pub fn play(record: &mut Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let store = Store::spawn();
    let runs = Runs::default();
    // As `field-desk` and `log-sweep` on the sheet.
    let work = Work { time: Duration::from_millis(28), slots: 2, queue: 12, crashes_on: CRASHING_PATH };
    for shard in 0..SHARDS {
        for copy in 0..2 {
            let id = format!("i-{shard}{copy}");
            let replica = CrashingReplica::spawn(&id, &format!("s{shard}"), &work, Runs::clone(&runs));
            store.put(&format!("servers/{id}"), &replica.entry("seeb"));
        }
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

/// Sends ordinary queries and, with the disruption, the crashing one, each to a machine drawn at random.
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
        let path = if crashes { CRASHING_PATH.to_owned() } else { format!("/all/{number}") };
        let (tx, host) = (tx.clone(), hosts[random.below(hosts.len())].callers);
        let id = format!("{:016x}", 0x5e7a_0000_0000_u64 + number);
        std::thread::spawn(move || {
            let ask = Ask { method: "GET", path: &path, id: &id, deadline_ms: BUDGET_MS, body: b"" };
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
    let late = late_retries(&crashes, outcomes);
    let is_late = |run: &&&Run| late.iter().any(|outcome| outcome.id == run.id);
    let arrivals = crashes.iter().filter(is_late).count();
    let ordinary: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.path != CRASHING_PATH).collect();
    let served = ordinary.iter().filter(|outcome| outcome.status == 200).count();
    record.note(&format!(
        "the crashing query reached replicas {} times, {arrivals} of them later than stable_window_ms after its third \
         crash, in {} retries; of {} ordinary queries {served} were served",
        crashes.len(),
        late.len(),
        ordinary.len()
    ));
    if late.len() > 3 { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("\"s{shard}\"")).collect();
    let service = |shard| {
        format!(
            "{{\"name\":\"s{shard}\",\"health_path\":\"/health\",\"max_conns\":58,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = (0..SHARDS).map(service).collect();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-all\",\"host\":\"wells.example\",\"prefix\":\"/all/\",\
         \"type\":\"idempotent\",\"timeout_ms\":{BUDGET_MS},\"latency_goal_ms\":200,\"priority\":1,\"gather\":[{}],\
         \"max_attempts\":2,\"top_k\":20,\"oldest_version\":0.5}}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        shards.join(","),
        services.join(",")
    )
}
