//! Whether the host that sent a request still waits for its result.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{clock::now, core::lock, shared_stream::SharedStream};

/// The least time between two checks of a connection, as each is a system call.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The connection of the host that sent a request to this one; clones share it.
///
/// A host that has given up closes the connection and sends the request elsewhere. The HTTP library sees that when it
/// reads again, which may be too late on a host that is busy with choosing the targets of many shards: the request would
/// run on more replicas than its route allows.
#[derive(Clone, Debug)]
pub(crate) struct SenderWatch {
    stream: SharedStream,
    last: Arc<Mutex<Check>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Check {
    checked_at: Option<Instant>,
    is_closed: bool,
}

impl SenderWatch {
    pub(crate) fn new(stream: SharedStream) -> Self {
        Self { stream, last: Arc::default() }
    }

    /// Returns the address of the sender; `None` if the connection has ended.
    pub(crate) fn address(&self) -> Option<IpAddr> {
        self.stream.peer()
    }

    /// Returns whether the sender had closed the connection at the last check.
    pub(crate) fn has_given_up(&self) -> bool {
        let now = now();
        let mut last = lock(&self.last);
        let is_due = last.checked_at.is_none_or(|at| now.saturating_duration_since(at) >= CHECK_INTERVAL);
        if is_due && !last.is_closed {
            *last = Check { checked_at: Some(now), is_closed: self.stream.is_closed_by_peer() };
        }
        last.is_closed
    }
}
