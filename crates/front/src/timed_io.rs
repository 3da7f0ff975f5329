//! A connection that remembers when a request began to arrive, and when its answer left.

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
    /// Waiting for a request since then.
    Idle(Instant),
    /// Reading the headers of a request since then.
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
    /// When the request began to arrive that is answered now, or comes next.
    began_at: Instant,
    /// Whether no request was answered yet.
    is_unused: bool,
    /// When the answer had to be made that is written next.
    due_at: Option<Instant>,
}

/// How a request arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When it began to arrive.
    pub(crate) at: Instant,
    /// Whether the caller opened its connection for this request.
    pub(crate) is_new_connection: bool,
}

/// A busy host takes a connection so much later at most than its first request came; callers that
/// send later than this had opened the connection before they had a request.
const ACCEPT_DELAY_MAX: Duration = Duration::from_millis(20);

impl ActivityCell {
    /// Creates the activity of a connection that was taken then.
    pub(crate) fn accepted_at(at: Instant) -> Self {
        let activity = Activity::Idle(at);
        Self(Arc::new(Mutex::new(State { activity, began_at: at, is_unused: true, due_at: None })))
    }

    pub(crate) fn get(&self) -> Activity {
        lock(&self.0).activity
    }

    /// Begins to answer a request.
    pub(crate) fn begin(&self) -> Arrival {
        let mut state = lock(&self.0);
        state.activity = Activity::Busy;
        Arrival { at: state.began_at, is_new_connection: state.is_unused }
    }

    /// Ends a request; its answer, which had to be made at `due_at`, is written next.
    pub(crate) fn answered(&self, due_at: Option<Instant>) {
        let now = now();
        let activity = Activity::Idle(now);
        *lock(&self.0) = State { activity, began_at: now, is_unused: false, due_at };
    }

    fn on_bytes_read(&self) {
        let mut state = lock(&self.0);
        if let Activity::Idle(since) = state.activity {
            let now = now();
            state.activity = Activity::Header(now);
            let is_one = state.is_unused && now.saturating_duration_since(since) < ACCEPT_DELAY_MAX;
            state.began_at = if is_one { since } else { now };
        }
    }

    fn take_due(&self) -> Option<Instant> {
        lock(&self.0).due_at.take()
    }
}

/// A connection that remembers when a request began to arrive, and notes when answers leave.
#[derive(Debug)]
pub(crate) struct TimedIo {
    pub(crate) stream: TcpStream,
    pub(crate) activity: ActivityCell,
    pub(crate) core: Arc<Core>,
}

impl TimedIo {
    fn note_written(&self, poll: &Poll<io::Result<usize>>) {
        if matches!(poll, Poll::Ready(Ok(_)))
            && let Some(due_at) = self.activity.take_due()
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
