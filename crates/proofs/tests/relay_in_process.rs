//! A relay inside the test on one thread, so that the order of its tasks is known.
//!
//! The failure needs a certain order: a relay decides a query and replies "not run" between
//! granting an attempt its slot and sending it.

use std::{net::SocketAddr, time::Duration};

use egret_conf::{DeclarationFile, Host, HostList, HostState, collect};
use egret_events::{Clock, Journal};
use egret_model::{
    DataCentre, Fingerprint, HostName, Incarnation, PlacementId, QueryId, Ran, SnapshotId, Version,
};
use egret_node::{AgentWatcher, View};
use egret_relay::{Options, Relay};
use egret_standin::{Behaviour, Target};
use egret_wire::{LocalState, Scatter, ScatterPart};
use tokio::{
    runtime::Handle,
    time::{Instant, sleep},
};

/// Two shards with different sets of replicas, of which only `r0` is live: the relay plans them in
/// separate sub-requests (cells), which compete for its one slot.
fn declaration(live: SocketAddr) -> String {
    format!(
        r#"
service = "desk-00"
group = "desk"
slots = 1
connections = 60
[[class]]
name = "lookup"
rank = 1
time_budget_ms = 1000
min_coverage = 1.0
[[replica]]
name = "r0"
address = "{live}"
host = "t-0"
data_centre = "seeb"
[[replica]]
name = "r1"
address = "127.0.0.1:9"
host = "t-1"
data_centre = "seeb"
[[placement]]
id = 1
shards = [{{ name = "s0", replicas = ["r0"] }}, {{ name = "s1", replicas = ["r0", "r1"] }}]
[[snapshot]]
id = 1
placement = 1
"#
    )
}

fn view(live: SocketAddr) -> View {
    let config = collect(Version(1), &[DeclarationFile::new("x.toml", declaration(live))]).unwrap();
    let host = Host {
        name: HostName::new("host-0").unwrap(),
        data_centre: DataCentre::new("seeb").unwrap(),
        state: HostState::Live,
        agent: None,
        relay: Some("127.0.0.1:1".parse().unwrap()),
        entry: None,
    };
    let services = config.services().iter().map(|service| (**service).clone()).collect();
    let hosts = HostList { revision: 1, hosts: vec![host] };
    View::new(LocalState { version: config.version(), root: config.root(), services, hosts })
}

fn scatter(query: u128, shards: &[&str], budget: Duration) -> Scatter {
    Scatter {
        query: QueryId(query),
        origin: Incarnation(1),
        stamp: Default::default(),
        fingerprint: Fingerprint(query as u64),
        mark: None,
        class: "lookup".parse().unwrap(),
        budget_ms: budget.as_millis() as u32,
        idempotent: true,
        body: "{}".to_owned(),
        snapshot: SnapshotId(1),
        allowed_misses: 0,
        parts: vec![ScatterPart {
            service: "desk-00".parse().unwrap(),
            placement: PlacementId(1),
            shards: shards.iter().map(|shard| shard.parse().unwrap()).collect(),
        }],
    }
}

/// One cell has the slot but has not sent its attempt; the other cell's refusal decides the query.
#[tokio::test]
async fn a_reply_never_denies_an_attempt_that_is_about_to_be_sent() {
    let targets = std::thread::spawn(|| tokio::runtime::Runtime::new().unwrap()).join().unwrap();
    let behaviour = Behaviour { slots: 4, service_us: 60_000, ..Behaviour::default() };
    let handle = targets.handle().clone();
    let bound =
        targets.spawn(async move { Target::bind(&handle, "127.0.0.1:0".parse().unwrap(), behaviour).await });
    let target = bound.await.unwrap().unwrap();
    let journal = Journal::new("relay@host-0", Clock::new());
    let watcher = AgentWatcher::fixed(view(target.address()));
    let options = Options::new("host-0".parse().unwrap(), "127.0.0.1:7300".parse().unwrap());
    let relay = Relay::spawn(options, watcher, journal, Handle::current());
    sleep(Duration::from_millis(1500)).await;
    let started = Instant::now();
    let first = relay.answer(scatter(1, &["s0"], Duration::from_secs(1))).await;
    assert_eq!(first.parts[0].covered.len(), 1, "{first:?}");
    let budget = started.elapsed().mul_f64(1.4) + Duration::from_millis(2);
    let reply = relay.answer(scatter(2, &["s0", "s1"], budget)).await;
    assert!(!reply.parts[0].missing.is_empty(), "no cell was refused, so that the case did not arise");
    sleep(Duration::from_millis(300)).await;
    let ran = target.executions().iter().any(|execution| execution.query == QueryId(2));
    assert!(!(ran && reply.ran == Ran::No), "the reply says not run, and the target ran the query");
    targets.shutdown_background();
}
