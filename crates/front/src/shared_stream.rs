//! A connection that can be asked whether its peer has closed it while the HTTP library serves it.

use std::{
    io,
    mem::MaybeUninit,
    net::{IpAddr, Shutdown},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection that can be asked whether its peer has closed it; clones share it.
///
/// The HTTP library sees the end of a connection when it reads again, which a busy host does too late to start nothing
/// for a peer that has given up.
#[derive(Clone, Debug)]
pub(crate) struct SharedStream {
    stream: Arc<TcpStream>,
    peer: Option<IpAddr>,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // A connection that was reset has no peer any more.
        let peer = stream.peer_addr().ok().map(|peer| peer.ip());
        Self { stream: Arc::new(stream), peer }
    }

    /// Returns whether the peer has closed the connection, or sent what does not belong there.
    ///
    /// Between a call and its reply the other host sends nothing, so the socket is read and not only peeked at: a byte that
    /// is there breaks the protocol, and the connection is of no more use.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let mut next = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).recv(&mut next) {
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        }
    }

    /// Returns the address of the peer; `None` if the connection had ended when it was taken.
    pub(crate) fn peer(&self) -> Option<IpAddr> {
        self.peer
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(bytes) => {
                    buf.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
