//! Clients: one thread a request, each on a connection of its own.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::read_message;

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub path: String,
    pub host: SocketAddr,
    pub sent_at: Instant,
    /// How long until the answer or the end of the wait.
    pub took: Duration,
    /// The status; 0 without an answer.
    pub status: u16,
    pub body: Vec<u8>,
    pub end: &'static str,
}

pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// Sends one request and waits for its answer for the request's time budget.
pub fn request(host: SocketAddr, ask: &Ask<'_>) -> Outcome {
    let sent_at = Instant::now();
    let budget = Duration::from_millis(ask.deadline_ms);
    let (status, body, end) = exchange(host, ask, budget);
    Outcome {
        id: ask.id.to_owned(),
        path: ask.path.to_owned(),
        host,
        sent_at,
        took: sent_at.elapsed(),
        status,
        body,
        end,
    }
}

fn exchange(host: SocketAddr, ask: &Ask<'_>, budget: Duration) -> (u16, Vec<u8>, &'static str) {
    let Ok(mut stream) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
        return (0, Vec::new(), "not connected");
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(budget)).ok();
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: wells.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        ask.method,
        ask.path,
        ask.id,
        ask.deadline_ms,
        ask.body.len()
    );
    if stream.write_all(&[head.as_bytes(), ask.body].concat()).is_err() {
        return (0, Vec::new(), "not sent");
    }
    match read_message(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => (answer.status(), answer.body, "answered"),
        Ok(None) => (0, Vec::new(), "closed"),
        Err(error)
            if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
        {
            (0, Vec::new(), "no answer within the time budget")
        }
        Err(_) => (0, Vec::new(), "broken"),
    }
}
