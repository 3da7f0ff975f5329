//! A connection that remembers when a request began to arrive.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Instant,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{clock::now, core::lock};

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
pub(crate) struct ActivityCell(Arc<Mutex<Activity>>);

impl ActivityCell {
    pub(crate) fn idle_since(at: Instant) -> Self {
        Self(Arc::new(Mutex::new(Activity::Idle(at))))
    }

    pub(crate) fn get(&self) -> Activity {
        *lock(&self.0)
    }

    pub(crate) fn set(&self, activity: Activity) {
        *lock(&self.0) = activity;
    }

    fn bytes_came(&self) {
        let mut activity = lock(&self.0);
        if matches!(*activity, Activity::Idle(_)) {
            *activity = Activity::Header(now());
        }
    }
}

/// A connection that remembers when a request began to arrive.
#[derive(Debug)]
pub(crate) struct TimedIo {
    pub(crate) stream: TcpStream,
    pub(crate) activity: ActivityCell,
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
            self.activity.bytes_came();
        }
        poll
    }
}

impl AsyncWrite for TimedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
