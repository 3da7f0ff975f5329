//! The subset of HTTP/1.1 that a stand-in target supports.

use tokio::{
    io::{AsyncReadExt, BufReader},
    net::TcpStream,
};

pub(crate) struct HttpRequest {
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
}

pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// Whether half of the body is sent before the connection is closed.
    pub(crate) truncated: bool,
}

impl HttpResponse {
    pub(crate) fn json(status: u16, body: &impl serde::Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(body).expect("response bodies are serialisable"),
            truncated: false,
        }
    }
}

/// Reads one request; returns `None` if the connection ends or the request is malformed.
///
/// The body's length is taken from `content-length` alone, whose name is matched
/// case-insensitively.
pub(crate) async fn read_request(stream: &mut BufReader<&mut TcpStream>) -> Option<HttpRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let path = head.split(' ').nth(1)?.to_owned();
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(HttpRequest { path, body })
}
