//! A forwarder that can cut and delay connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// What a forwarder does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passing {
    /// It passes everything on.
    Open,
    /// It passes everything on after a delay.
    Delayed(Duration),
    /// It refuses new connections and breaks the others.
    Cut,
    /// It keeps connections and passes nothing on, as a lossy network does.
    Silent,
}

/// A running forwarder; clones share it.
#[derive(Clone, Debug)]
pub struct Forwarder {
    address: SocketAddr,
    passing: Arc<watch::Sender<Passing>>,
}

impl Forwarder {
    /// Listens on `address` and forwards to `target`.
    ///
    /// # Panics
    /// Panics where the address cannot be listened on.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("the test's addresses are free");
        let address = listener.local_addr().expect("a listener has an address");
        let passing = Arc::new(watch::Sender::new(Passing::Open));
        tokio::spawn(serve(listener, target, Arc::clone(&passing)));
        Self { address, passing }
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does, for open connections too.
    pub fn set(&self, passing: Passing) {
        self.passing.send_replace(passing);
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, passing: Arc<watch::Sender<Passing>>) {
    while let Ok((near, _)) = listener.accept().await {
        let passing = Arc::clone(&passing);
        tokio::spawn(async move {
            if *passing.borrow() == Passing::Cut {
                let _ = near.set_zero_linger();
                return;
            }
            let Ok(far) = TcpStream::connect(target).await else { return };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let mut cuts = passing.subscribe();
            tokio::select! {
                () = copy(near_read, far_write, &passing) => {}
                () = copy(far_read, near_write, &passing) => {}
                _ = cuts.wait_for(|passing| *passing == Passing::Cut) => {}
            }
        });
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    passing: &watch::Sender<Passing>,
) {
    let mut buf = vec![0; 16 << 10];
    let mut changes = passing.subscribe();
    loop {
        let Ok(count @ 1..) = from.read(&mut buf).await else { return };
        let now = *passing.borrow();
        if let Passing::Delayed(delay) = now {
            sleep(delay).await;
        }
        if changes.wait_for(|passing| *passing != Passing::Silent).await.is_err() {
            return;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
