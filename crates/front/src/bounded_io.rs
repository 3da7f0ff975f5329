//! Limits of the bytes that are read for one answer or one body, framing included.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How many bytes a connection may still read for its exchange; clones share it.
///
/// All bytes count: heads, bodies, chunk sizes, trailers, interim answers. The HTTP library limits
/// some of them one by one, but not their sum.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Sets the bytes that may be read from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Adds to the bytes that may be read.
    pub(crate) fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns whether all allowed bytes were read.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that were read; returns whether they were allowed.
    pub(crate) fn consume(&self, bytes: usize) -> bool {
        let used = |left: usize| Some(left.saturating_sub(bytes));
        let before = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, used);
        before.is_ok_and(|left| bytes <= left)
    }
}

/// A connection whose reads fail once the peer sends more than its exchange allows.
#[derive(Debug)]
pub(crate) struct BoundedIo {
    stream: TcpStream,
    allowance: Allowance,
}

impl BoundedIo {
    pub(crate) fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if self.allowance.consume(received) {
            return poll;
        }
        buf.set_filled(before);
        Poll::Ready(Err(io::Error::other("the peer sent more bytes than an answer may have")))
    }
}

impl AsyncWrite for BoundedIo {
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
