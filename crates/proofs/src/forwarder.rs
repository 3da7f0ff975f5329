//! A TCP forwarder that can cut, delay or stall the connections that it forwards.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::sleep,
};

/// What a forwarder does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// It forwards all data.
    Open,
    /// It forwards all data after a delay.
    Delayed(Duration),
    /// It resets new connections and closes open ones.
    Cut,
    /// It keeps connections open and forwards nothing, like a network that loses all packets.
    Silent,
}

/// The mode of each source address.
#[derive(Clone, Debug)]
struct Rules {
    default_mode: LinkMode,
    /// The modes of source addresses that differ from the default.
    sources: Vec<(IpAddr, LinkMode)>,
}

impl Rules {
    fn mode(&self, source: IpAddr) -> LinkMode {
        let exception = self.sources.iter().find(|(address, _)| *address == source);
        exception.map_or(self.default_mode, |(_, mode)| *mode)
    }
}

/// A running forwarder; clones share it.
#[derive(Clone, Debug)]
pub struct Forwarder {
    address: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
}

impl Forwarder {
    /// Listens on `address` and forwards connections to `target`.
    ///
    /// # Panics
    /// Panics if it cannot listen on `address`.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("the addresses of the test are free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let rules = Rules { default_mode: LinkMode::Open, sources: Vec::new() };
        let rules = Arc::new(watch::Sender::new(rules));
        tokio::spawn(serve(listener, target, Arc::clone(&rules)));
        Self { address, rules }
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of connections from some addresses, including open ones.
    ///
    /// It replaces earlier modes of single addresses.
    pub fn set_for(&self, sources: impl IntoIterator<Item = IpAddr>, mode: LinkMode) {
        let sources = sources.into_iter().map(|source| (source, mode)).collect();
        self.rules.send_modify(|rules| rules.sources = sources);
    }

    /// Sets the mode of all connections, including open ones; removes the modes of single addresses.
    pub fn set(&self, mode: LinkMode) {
        self.rules.send_replace(Rules { default_mode: mode, sources: Vec::new() });
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, rules: Arc<watch::Sender<Rules>>) {
    while let Ok((near, source)) = listener.accept().await {
        let (rules, source) = (Arc::clone(&rules), source.ip());
        tokio::spawn(async move {
            if rules.borrow().mode(source) == LinkMode::Cut {
                let _ = near.set_zero_linger();
                return;
            }
            let Ok(far) = connect(source, target).await else { return };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let mut cuts = rules.subscribe();
            tokio::select! {
                () = copy(near_read, far_write, source, &rules) => {}
                () = copy(far_read, near_write, source, &rules) => {}
                _ = cuts.wait_for(|rules| rules.mode(source) == LinkMode::Cut) => {}
            }
        });
    }
}

/// Connects to `target` from the source address, so that the target sees the host that sent.
async fn connect(source: IpAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.set_nodelay(true)?;
    socket.connect(target).await
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    source: IpAddr,
    rules: &watch::Sender<Rules>,
) {
    let mut buf = vec![0; 16 << 10];
    let mut changes = rules.subscribe();
    loop {
        let Ok(count @ 1..) = from.read(&mut buf).await else { return };
        let current = rules.borrow().mode(source);
        if let LinkMode::Delayed(delay) = current {
            sleep(delay).await;
        }
        if changes.wait_for(|rules| rules.mode(source) != LinkMode::Silent).await.is_err() {
            return;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
