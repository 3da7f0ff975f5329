//! Idle connections of the HTTP client that go silent.

use std::time::Duration;

use egret_node::HttpClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A change has to be in force on all hosts within this time in the users' settings.
const APPLY_MAX: Duration = Duration::from_secs(3);
/// The kernel's number of the keep-alive timer in `/proc/net/tcp`.
const KEEPALIVE_TIMER: &str = "02";
/// The unit of the timers in `/proc/net/tcp`, in milliseconds.
const TIMER_UNIT_MS: u64 = 10;

/// Returns the timer of the connection to a local port, and the time until it fires.
fn connection_timer(remote_port: u16) -> Option<(String, Duration)> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!("{:08X}:{remote_port:04X}", u32::from_le_bytes([127, 0, 0, 1]));
    let line = table.lines().find(|line| line.split_whitespace().nth(2) == Some(&remote))?;
    let (timer, left) = line.split_whitespace().nth(5)?.split_once(':')?;
    Some((timer.to_owned(), Duration::from_millis(TIMER_UNIT_MS * u64::from_str_radix(left, 16).ok()?)))
}

#[tokio::test]
async fn a_connection_that_may_have_gone_silent_while_idle_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // Accepts a connection, answers one request, and then falls silent.
    let serving = tokio::spawn(async move {
        let mut silent = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            assert!(stream.read(&mut buf).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            silent.push(stream);
        }
    });
    let client = HttpClient::open(1);
    for _ in 0..2 {
        assert_eq!(
            client.get(address, "/", Duration::from_secs(1)).await.map(|answer| answer.status),
            Ok(200)
        );
        tokio::time::sleep(APPLY_MAX + Duration::from_millis(200)).await;
    }
    serving.abort();
}

#[tokio::test]
async fn an_idle_connection_is_probed_before_it_is_silent_for_long() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        stream
    });
    let client = HttpClient::open(1);
    assert_eq!(client.get(address, "/", Duration::from_secs(1)).await.unwrap().status, 200);
    let _stream = serving.await.unwrap();
    let (timer, left) = connection_timer(address.port()).unwrap();
    assert_eq!(timer, KEEPALIVE_TIMER);
    assert!(left <= APPLY_MAX, "the first probe is sent after {left:?}");
}
