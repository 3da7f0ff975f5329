//! A host that gathers for others freezes while it works on their requests.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::client::{Ask, Outcome, request};
use crate::host::{Fleet, Host, SIGCONT, SIGSTOP, loopback_ips, remove, temporary_folder};
use crate::replica::{Replica, Runs};
use crate::store::Store;
use crate::{Record, Verdict, cannot_run};

const HOSTS: usize = 8;
const SHARDS: usize = 4;
/// Slots of a replica; a shard works on 71 requests at a time, and has two replicas.
const SLOTS: u32 = 48;
/// As `archive-pull` works on the sheet.
const WORK: Duration = Duration::from_millis(220);
/// The route's `timeout_ms`.
const TIMEOUT: Duration = Duration::from_millis(1000);
/// The clients' `X-Deadline-Ms`, that of `log-sweep` on the sheet.
const BUDGET_MS: u64 = 3000;
const PER_SECOND: u64 = 320;
const FREEZE_AFTER: Duration = Duration::from_millis(3000);
/// As `node_freeze` stands in the site file.
const FREEZE: Duration = Duration::from_millis(4000);
const LENGTH: Duration = Duration::from_millis(9000);

pub fn play(record: &mut Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let store = Store::spawn();
    let runs = Runs::default();
    for shard in 0..SHARDS {
        for copy in 0..2 {
            let id = format!("i-{shard}{copy}");
            let replica = Replica::spawn(&id, &format!("s{shard}"), WORK, Runs::clone(&runs));
            store.put(&format!("servers/{id}"), &replica.entry("seeb", SLOTS));
        }
    }
    store.put("op/config", &config());
    let fleet =
        Fleet { folder: folder.clone(), store: store.address, zone: "seeb", ips: loopback_ips(HOSTS) };
    let hosts: Vec<Host> = (0..HOSTS).map(|at| fleet.spawn_host(at)).collect();
    hosts.iter().for_each(Host::wait_ready);
    // Until the hosts know each other and have chosen who gathers.
    std::thread::sleep(Duration::from_millis(5000));
    let gatherers = gatherers(&hosts[0]);
    record.note(&format!("the hosts that gather: {gatherers:?}"));
    let Some(frozen) = hosts.iter().find(|host| gatherers.contains(&host.ip)) else {
        cannot_run("no host gathers for others")
    };
    let asked: Vec<&Host> = hosts.iter().filter(|host| host.ip != frozen.ip).collect();
    if asked.is_empty() {
        cannot_run("there is no other host");
    }
    let (tx, rx) = mpsc::channel();
    let began_at = Instant::now();
    let mut frozen_at = None;
    let mut number = 0;
    while began_at.elapsed() < LENGTH {
        if trouble && frozen_at.is_none() && began_at.elapsed() >= FREEZE_AFTER {
            frozen.signal(SIGSTOP);
            frozen_at = Some(Instant::now());
            record.note(&format!("host {} freezes (SIGSTOP)", frozen.ip));
        }
        if let Some(at) = frozen_at
            && at.elapsed() >= FREEZE
            && at.elapsed() < FREEZE + Duration::from_millis(50)
        {
            frozen.signal(SIGCONT);
        }
        let (tx, host) = (tx.clone(), asked[number as usize % asked.len()].callers);
        let id = format!("{:016x}", 0x5e7a_0000_0000_u64 + number);
        std::thread::spawn(move || {
            let path = format!("/all/{number}");
            let ask = Ask { method: "GET", path: &path, id: &id, deadline_ms: BUDGET_MS, body: b"" };
            let _ = tx.send(request(host, &ask));
        });
        number += 1;
        std::thread::sleep(Duration::from_millis(1000 / PER_SECOND));
    }
    frozen.signal(SIGCONT);
    drop(tx);
    let mut outcomes: Vec<Outcome> = rx.into_iter().collect();
    outcomes.sort_by_key(|outcome| outcome.sent_at);
    for outcome in &outcomes {
        let Outcome { id, path, host, sent_at, took, status, end, body } = outcome;
        let line =
            format!("{host} {id} {path}: {status} {end} after {} ms, {} bytes", took.as_millis(), body.len());
        record.at(*sent_at, &line);
    }
    for run in runs.lock().expect("no panic").iter() {
        record.at(run.at, &format!("run {} {} at {} of {}", run.id, run.path, run.replica, run.service));
    }
    drop(hosts);
    remove(&folder);
    judge(record, &outcomes)
}

/// CONFIG: "Some requests last longer than their route's `timeout_ms`. Eight or more of them, and over a
/// quarter, have no final answer from machines in touch 0.5 s after it."
fn judge(record: &mut Record, outcomes: &[Outcome]) -> Verdict {
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let long: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.took > TIMEOUT).collect();
    let late = TIMEOUT + Duration::from_millis(500);
    let unanswered = long.iter().filter(|outcome| outcome.took > late).count();
    record.note(&format!(
        "{} requests, {served} served; {} lasted longer than timeout_ms, {unanswered} of them had no answer 0.5 s later",
        outcomes.len(),
        long.len()
    ));
    let is_broken = unanswered >= 8 && unanswered * 4 > long.len();
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

/// The hosts that gather, by a host's log.
fn gatherers(host: &Host) -> Vec<String> {
    let log = host.log();
    let line = log.lines().rev().find(|line| line.contains("gatherers")).unwrap_or_default();
    let detail =
        line.split("\"detail\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or_default();
    detail.split(' ').filter_map(|address| Some(address.split_once(':')?.0.to_owned())).collect()
}

fn config() -> String {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("\"s{shard}\"")).collect();
    let service = |shard| {
        format!(
            "{{\"name\":\"s{shard}\",\"health_path\":\"/health\",\"max_conns\":400,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = (0..SHARDS).map(service).collect();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-all\",\"host\":\"wells.example\",\"prefix\":\"/all/\",\
         \"type\":\"idempotent\",\"timeout_ms\":{},\"latency_goal_ms\":800,\"priority\":1,\"gather\":[{}],\
         \"max_attempts\":2,\"top_k\":5,\"oldest_version\":0.75}}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        TIMEOUT.as_millis(),
        shards.join(","),
        services.join(",")
    )
}
