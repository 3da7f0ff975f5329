//! A caller's connection that records when a request begins to arrive and when its answer is
//! written.

use std::{
    io,
    net::IpAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use egret_policy::{ConnectionLoad, ConnectionPhase};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
};

use crate::{
    bounded_io::Allowance,
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
    /// Reading the body of a request; the last bytes of it arrived at the given time.
    Body(Instant),
    /// Answering a request.
    Busy,
}

/// The activity of one connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ActivityCell(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    address: IpAddr,
    state: Mutex<State>,
    /// Whether the connection was chosen to be closed for lack of memory or descriptors.
    evicted: watch::Sender<bool>,
    /// How many bytes may still be read for the current body.
    allowance: Allowance,
}

/// No limit; low enough that adding to it cannot overflow.
const UNLIMITED: usize = usize::MAX / 2;

#[derive(Debug)]
struct State {
    activity: Activity,
    /// When the current request, or the next one, began to arrive.
    began_at: Instant,
    /// Whether no request has been answered on the connection yet.
    is_first_request: bool,
    /// Whether the connection was read from since the last answer.
    is_read_from: bool,
    /// When the answer that is written next was due.
    due_at: Option<Instant>,
    /// Since when bytes wait to be written because the caller reads none.
    blocked_since: Option<Instant>,
    /// The size of the body that arrives, or of the answer that was written last, in bytes.
    held_bytes: usize,
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
    /// Creates the activity of a connection from `address` that was accepted at `at`.
    pub(crate) fn accepted_at(at: Instant, address: IpAddr) -> Self {
        let state = State {
            activity: Activity::Idle(at),
            began_at: at,
            is_first_request: true,
            is_read_from: false,
            due_at: None,
            blocked_since: None,
            held_bytes: 0,
        };
        let allowance = Allowance::default();
        allowance.set(UNLIMITED);
        let evicted = watch::Sender::new(false);
        Self(Arc::new(Shared { address, state: Mutex::new(state), evicted, allowance }))
    }

    pub(crate) fn get(&self) -> Activity {
        lock(&self.0.state).activity
    }

    /// Returns whether this is the activity of the same connection.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Returns what eviction needs to know; `None` if the connection is already evicted.
    pub(crate) fn load(&self) -> Option<ConnectionLoad> {
        if self.is_evicted() {
            return None;
        }
        let state = lock(&self.0.state);
        let (phase, progress_at) = match (state.activity, state.blocked_since) {
            (Activity::Idle(_), Some(since)) => (ConnectionPhase::Writing, since),
            (Activity::Idle(since), None) if !state.is_first_request => (ConnectionPhase::Idle, since),
            (Activity::Idle(since), None) if state.is_read_from => (ConnectionPhase::Silent, since),
            (Activity::Idle(since), None) => (ConnectionPhase::New, since),
            (Activity::Header(since), _) => (ConnectionPhase::Head, since),
            (Activity::Body(since), _) => (ConnectionPhase::Body, since),
            (Activity::Busy, _) => (ConnectionPhase::Running, state.began_at),
        };
        Some(ConnectionLoad { address: self.0.address, phase, progress_at, held_bytes: state.held_bytes })
    }

    /// Makes the connection end: at once, or with the answer of its current request.
    pub(crate) fn evict(&self) {
        self.0.evicted.send_replace(true);
    }

    pub(crate) fn is_evicted(&self) -> bool {
        *self.0.evicted.borrow()
    }

    /// Waits until [`Self::evict`] is called.
    pub(crate) async fn evicted(&self) {
        // Fails only if the sender is dropped, which `self` owns.
        let _ = self.0.evicted.subscribe().wait_for(|is_evicted| *is_evicted).await;
    }

    /// Returns whether a request is being answered.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.get(), Activity::Busy)
    }

    /// Returns whether the connection may be closed at once: no whole request is there, or its answer waits because
    /// the caller reads nothing.
    pub(crate) fn holds_no_request(&self) -> bool {
        let state = lock(&self.0.state);
        match state.activity {
            Activity::Header(_) => true,
            Activity::Idle(_) => state.blocked_since.is_some(),
            Activity::Body(_) | Activity::Busy => false,
        }
    }

    /// Records that a body begins to arrive, and limits the bytes that are read for it.
    pub(crate) fn begin_body(&self, allowed: usize) {
        self.0.allowance.set(allowed);
        let mut state = lock(&self.0.state);
        state.activity = Activity::Body(now());
        state.held_bytes = 0;
    }

    /// Records that a part of the body arrived, and allows more bytes to be read.
    pub(crate) fn body_grew(&self, held_bytes: usize, allowed: usize) {
        self.0.allowance.add(allowed);
        let mut state = lock(&self.0.state);
        state.activity = Activity::Body(now());
        state.held_bytes = held_bytes;
    }

    /// Records that no more of the body is read.
    pub(crate) fn end_body(&self) {
        self.0.allowance.set(UNLIMITED);
        lock(&self.0.state).activity = Activity::Busy;
    }

    /// Records that a request was read and is being answered.
    pub(crate) fn begin(&self) -> Arrival {
        let mut state = lock(&self.0.state);
        state.activity = Activity::Busy;
        Arrival { at: state.began_at, is_new_connection: state.is_first_request }
    }

    /// Records that a request is answered; its answer of `held_bytes`, due at `due_at`, is written next.
    pub(crate) fn answered(&self, due_at: Option<Instant>, held_bytes: usize) {
        let now = now();
        let activity = Activity::Idle(now);
        *lock(&self.0.state) = State {
            activity,
            began_at: now,
            is_first_request: false,
            is_read_from: false,
            due_at,
            blocked_since: None,
            held_bytes,
        };
    }

    /// Records that the connection was read from.
    fn on_read(&self, has_received: bool) {
        let mut state = lock(&self.0.state);
        state.is_read_from = true;
        if !has_received {
            return;
        }
        if let Activity::Idle(since) = state.activity {
            let now = now();
            state.activity = Activity::Header(now);
            let opened_for_request =
                state.is_first_request && now.saturating_duration_since(since) < ACCEPT_DELAY_MAX;
            state.began_at = if opened_for_request { since } else { now };
        }
    }

    /// Records whether bytes could be written; returns when the answer was due if they are its first.
    fn on_write(&self, is_written: bool) -> Option<Instant> {
        let mut state = lock(&self.0.state);
        if is_written {
            state.blocked_since = None;
            return state.due_at.take();
        }
        state.blocked_since.get_or_insert_with(now);
        None
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
        if !matches!(poll, Poll::Ready(Err(_)))
            && let Some(due_at) = self.activity.on_write(poll.is_ready())
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
        let received = buf.filled().len() - before;
        self.activity.on_read(received > 0);
        if !self.activity.0.allowance.consume(received) {
            buf.set_filled(before);
            return Poll::Ready(Err(io::Error::other("the body's framing is far larger than its data")));
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
