//! Whether a query ran, as the client reports it after several attempts.
//!
//! Guards against a last refusal with `ran: no` that hides an earlier attempt without an
//! answer: the caller would then repeat a query that may have run.

use std::{net::SocketAddr, time::Duration};

use egret_client::{Client, Query};
use egret_model::Ran;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const REFUSAL: &str =
    r#"{"kind":"overload","ran":"no","message":"full","remedy":"come back","retry_after_ms":60000}"#;

/// Serves one connection per element: reads a request and writes the reply, or closes without one.
async fn spawn_entry(replies: Vec<Option<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for reply in replies {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await.unwrap();
            let Some(body) = reply else { continue };
            let head =
                format!("HTTP/1.1 429 x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
        }
    });
    address
}

async fn ran_after(replies: Vec<Option<&'static str>>) -> Ran {
    let client = Client::open([spawn_entry(replies).await]);
    let query = Query::group("desk", "lookup", "{}").unwrap().budget(Duration::from_secs(5));
    client.query(&query).await.unwrap_err().ran()
}

#[tokio::test]
async fn a_refusal_as_not_run_does_not_hide_an_earlier_attempt_that_may_have_run() {
    assert_eq!(ran_after(vec![Some(REFUSAL)]).await, Ran::No);
    assert_eq!(ran_after(vec![None, Some(REFUSAL)]).await, Ran::Unknown);
}
