//! A caller's connection that records when a request begins to arrive and when its answer is
//! written.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{
    clock::now,
    core::{Core, lock},
};

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Activity {
    /// Waiting for a request since the given time.
    Idle(Instant),
    /// Reading the headers of a request since the given time.
    Header(Instant),
    /// Answering a request.
    Busy,
}

/// The activity of one connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ActivityCell(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    activity: Activity,
    /// When the current request, or the next one, began to arrive.
    began_at: Instant,
    /// Whether no request has been answered on the connection yet.
    is_first_request: bool,
    /// When the answer that is written next was due.
    due_at: Option<Instant>,
}

/// How a request arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When the request began to arrive.
    pub(crate) at: Instant,
    /// Whether this is the first request on the caller's connection.
    pub(crate) is_new_connection: bool,
}

/// A first request that is read within this time after the connection was accepted counts as
/// arrived then, as a busy host may read so much later. If it is read later than that, the caller
/// had opened the connection before it had a request.
const ACCEPT_DELAY_MAX: Duration = Duration::from_millis(20);

impl ActivityCell {
    /// Creates the activity of a connection that was accepted at `at`.
    pub(crate) fn accepted_at(at: Instant) -> Self {
        let activity = Activity::Idle(at);
        Self(Arc::new(Mutex::new(State { activity, began_at: at, is_first_request: true, due_at: None })))
    }

    pub(crate) fn get(&self) -> Activity {
        lock(&self.0).activity
    }

    /// Records that a request was read and is being answered.
    pub(crate) fn begin(&self) -> Arrival {
        let mut state = lock(&self.0);
        state.activity = Activity::Busy;
        Arrival { at: state.began_at, is_new_connection: state.is_first_request }
    }

    /// Records that a request is answered; its answer, due at `due_at`, is written next.
    pub(crate) fn answered(&self, due_at: Option<Instant>) {
        let now = now();
        let activity = Activity::Idle(now);
        *lock(&self.0) = State { activity, began_at: now, is_first_request: false, due_at };
    }

    fn on_bytes_read(&self) {
        let mut state = lock(&self.0);
        if let Activity::Idle(since) = state.activity {
            let now = now();
            state.activity = Activity::Header(now);
            let opened_for_request =
                state.is_first_request && now.saturating_duration_since(since) < ACCEPT_DELAY_MAX;
            state.began_at = if opened_for_request { since } else { now };
        }
    }

    fn take_due_at(&self) -> Option<Instant> {
        lock(&self.0).due_at.take()
    }
}

/// A connection that records in `activity` when a request begins to arrive, and reports to `core`
/// how late answers are written.
#[derive(Debug)]
pub(crate) struct TimedIo {
    pub(crate) stream: TcpStream,
    pub(crate) activity: ActivityCell,
    pub(crate) core: Arc<Core>,
}

impl TimedIo {
    fn note_written(&self, poll: &Poll<io::Result<usize>>) {
        if matches!(poll, Poll::Ready(Ok(_)))
            && let Some(due_at) = self.activity.take_due_at()
        {
            self.core.answer_written(due_at);
        }
    }
}

impl AsyncRead for TimedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_bytes_read();
        }
        poll
    }
}

impl AsyncWrite for TimedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(&poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
