//! What a client says of a query that it sent several times.

use std::{net::SocketAddr, time::Duration};

use egret_client::{Client, Query};
use egret_model::Ran;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const REFUSAL: &str =
    r#"{"kind":"overload","ran":"no","message":"full","remedy":"come back","retry_after_ms":60000}"#;

/// Serves one connection after another: each reads a request and writes its reply, or nothing.
async fn entry(replies: Vec<Option<&'static str>>) -> SocketAddr {
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
    let client = Client::open([entry(replies).await]);
    let query = Query::group("desk", "lookup", "{}").unwrap().budget(Duration::from_secs(5));
    client.query(&query).await.unwrap_err().ran()
}

#[tokio::test]
async fn a_refusal_as_not_run_says_nothing_of_an_earlier_try_without_an_answer() {
    assert_eq!(ran_after(vec![Some(REFUSAL)]).await, Ran::No);
    assert_eq!(ran_after(vec![None, Some(REFUSAL)]).await, Ran::Unknown);
}
