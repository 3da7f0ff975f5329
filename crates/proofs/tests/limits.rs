//! Limits on callers' input and on connections.
//!
//! Input over a limit must be refused with a message that names the limit, before any work
//! reaches a target. Connections to a target must stay below the least cap of targets.

use std::time::Duration;

use egret_proofs::{Fleet, FleetSpec, Role};
use egret_standin::Behaviour;
use nix::sys::signal::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The lowest connection cap of any target in the brief.
const LOWEST_CONNECTION_CAP: u64 = 50;

/// Starts one host whose entry has low limits.
async fn start_limited() -> Fleet {
    let flags = ["--body-bytes", "2000", "--body-timeout-ms", "400", "--shards", "5", "--connections", "20"];
    let entry_flags = flags.iter().map(|&flag| flag.to_owned()).collect();
    Fleet::start(FleetSpec { hosts: 1, services: 2, shards: 2, entry_flags, ..FleetSpec::default() }).await
}

/// Sends raw bytes to the entry; returns the first line and the body of the answer.
async fn send_raw(fleet: &Fleet, text: &str) -> (String, String) {
    let mut stream = TcpStream::connect(fleet.address(0, Role::Entry)).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    // The connection may stay open after the answer: read until its end is seen or nothing comes for 1.5 s.
    while let Ok(Ok(count @ 1..)) = timeout(Duration::from_millis(1500), stream.read(&mut buf)).await {
        answer.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&answer);
        if text.contains("\r\n\r\n") && (text.contains('}') || text.contains("431")) {
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
    (text.lines().next().unwrap_or_default().to_owned(), body)
}

fn post(body: &str) -> String {
    format!("POST /v1/query HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

#[tokio::test(flavor = "multi_thread")]
async fn input_over_a_limit_is_refused_and_reaches_no_target() {
    let fleet = start_limited().await;
    let before = fleet.executions().len();
    let long = format!(r#"{{"group":"desk","class":"lookup","body":"{}"}}"#, "x".repeat(3000));
    let shards: Vec<String> = (0..6).map(|n| format!(r#"{{"service":"desk-00","shard":"s{n}"}}"#)).collect();
    let many =
        format!(r#"{{"services":["desk-00"],"shards":[{}],"class":"lookup","body":1}}"#, shards.join(","));
    for (body, status, text) in [
        (long.as_str(), "413", "\"too-large\""),
        (many.as_str(), "404", "not declared for snapshot"),
        (r#"{"group":"desk","class":"lookup","body":1,"colour":2}"#, "400", "unknown field"),
        (r#"{"group":"desk","class":"lookup"}"#, "400", "missing field"),
        (r#"{"group":"Desk","class":"lookup","body":1}"#, "400", "use 1 to 64"),
        (r#"{"class":"lookup","body":1}"#, "400", "names no group"),
        (r#"{"group":"desk","class":"lookup","body":1,"budget_ms":0}"#, "400", "budget_ms must be"),
        (r#"{"group":"desk","class":"lookup","body":1,"budget_ms":999999}"#, "400", "budget_ms must be"),
        (r#"{"group":"desk","class":"lookup","body":1,"ticket":"x"}"#, "400", "takes no ticket"),
        (r#"{"services":["desk-77"],"class":"lookup","body":1}"#, "404", "desk-77 is not declared"),
        ("{", "400", "cannot be read"),
    ] {
        let (line, answer) = send_raw(&fleet, &post(body)).await;
        assert!(line.contains(status), "{line} {answer} for {body}");
        assert!(answer.contains(text) && answer.contains("\"ran\":\"no\""), "{answer} for {body}");
        assert!(answer.contains("\"remedy\""), "{answer}");
    }
    let (line, _) =
        send_raw(&fleet, &format!("GET /ready HTTP/1.1\r\nhost: x\r\nx-a: {}\r\n\r\n", "y".repeat(40_000)))
            .await;
    assert!(line.contains("431"), "{line}");
    let (line, answer) =
        send_raw(&fleet, "POST /v1/query HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{\"gr").await;
    assert!(line.contains("400") && answer.contains("did not arrive in time"), "{line} {answer}");
    let (line, answer) = send_raw(&fleet, "GET /v1/other HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(line.contains("404") && answer.contains("docs/API.md"), "{line} {answer}");
    assert_eq!(fleet.executions().len(), before, "work reached a target");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_over_too_many_shards_is_refused() {
    let entry_flags = vec!["--shards".to_owned(), "7".to_owned()];
    let spec = FleetSpec {
        hosts: 1,
        services: 2,
        shards: 3,
        entry_flags: entry_flags.clone(),
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(spec).await;
    fleet.publish(|declared| declared.snapshots[0].shards = 4);
    sleep(Duration::from_millis(1500)).await;
    let (line, answer) = send_raw(&fleet, &post(r#"{"group":"desk","class":"lookup","body":1}"#)).await;
    assert!(line.contains("413") && answer.contains("asks 8 shards, more than 7"), "{line} {answer}");
}

/// Connections over the limit wait and are served when others close.
#[tokio::test(flavor = "multi_thread")]
async fn connections_over_the_limit_wait() {
    let fleet = start_limited().await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        idle.push(TcpStream::connect(fleet.address(0, Role::Entry)).await.unwrap());
    }
    sleep(Duration::from_millis(200)).await;
    let ready = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut stream = TcpStream::connect(fleet.address(0, Role::Entry)).await.unwrap();
    stream.write_all(ready.as_bytes()).await.unwrap();
    let mut buf = [0; 1024];
    let waited = timeout(Duration::from_millis(500), stream.read(&mut buf)).await;
    assert!(waited.is_err(), "a connection over the limit was served");
    drop(idle);
    let count = timeout(Duration::from_secs(3), stream.read(&mut buf)).await.unwrap().unwrap();
    assert!(String::from_utf8_lossy(&buf[..count]).contains("200"));
}

/// Neither overload nor a change of block owners may open more connections than the lowest cap.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_a_target_stay_below_its_cap() {
    let behaviour = Behaviour { service_us: 20_000, ..FleetSpec::default().behaviour };
    let fleet = Fleet::start(FleetSpec { hosts: 4, services: 1, behaviour, ..FleetSpec::default() }).await;
    for lost in 0..2 {
        let client = fleet.client();
        let mut tasks = JoinSet::new();
        for number in 0..300 {
            let (client, query) = (client.clone(), fleet.lookup(number).budget(Duration::from_millis(500)));
            tasks.spawn(async move { client.query_once(&query).await });
        }
        sleep(Duration::from_millis(100)).await;
        fleet.signal(lost, Role::Relay, Signal::SIGSTOP);
        tasks.join_all().await;
    }
    for target in &fleet.targets[0] {
        let most = target.max_open_connections();
        println!("largest number of connections at a target: {most}");
        assert!((1..=LOWEST_CONNECTION_CAP).contains(&most), "{most} connections");
    }
}
