//! The bytes that the system receives for a connection before they are read.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};

use egret_events::{Code, log_event};
use socket2::SockRef;

/// Limits the receive buffer of a socket, and of the connections that it accepts, in bytes.
///
/// Unread bytes count on the memory of the process, and the system's own limit grows to megabytes for each connection.
/// Linux keeps up to half as much again as was set. The socket must not listen or connect yet, as the peer learns the
/// largest window then. If the system refuses the limit, the first time is logged.
pub fn limit_receive_buffer<'s>(socket: impl Into<SockRef<'s>>, address: SocketAddr, bytes: usize) {
    static IS_LOGGED: AtomicBool = AtomicBool::new(false);
    let socket = socket.into();
    let reported = socket.set_recv_buffer_size(bytes).and_then(|()| socket.recv_buffer_size());
    if let Some(problem) = problem(reported, bytes)
        && !IS_LOGGED.swap(true, Ordering::Relaxed)
    {
        log_event(Code::ReceiveBufferUnlimited, "", &format!("{address}: {problem}"));
    }
}

/// Returns why a receive buffer is not limited. Linux reports twice the size that was set.
fn problem(reported: io::Result<usize>, bytes: usize) -> Option<String> {
    match reported {
        Ok(reported) if reported <= 2 * bytes => None,
        Ok(reported) => Some(format!("{bytes} bytes were set, the system reports {reported}")),
        Err(error) => Some(error.to_string()),
    }
}
