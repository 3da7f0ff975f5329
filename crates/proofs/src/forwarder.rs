//! A forwarder that can cut and delay connections.

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

/// What a forwarder does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes everything on.
    Open,
    /// It passes everything on after a delay.
    Delayed(Duration),
    /// It refuses new connections and breaks the others.
    Cut,
    /// It keeps connections and passes nothing on, as a lossy network does.
    Silent,
}

/// What a forwarder does with whom.
#[derive(Clone, Debug)]
struct Rules {
    usual: LinkMode,
    /// What it does with connections from some addresses instead.
    sources: Vec<(IpAddr, LinkMode)>,
}

impl Rules {
    fn mode(&self, source: IpAddr) -> LinkMode {
        let own = self.sources.iter().find(|(address, _)| *address == source);
        own.map_or(self.usual, |(_, mode)| *mode)
    }
}

/// A running forwarder; clones share it.
#[derive(Clone, Debug)]
pub struct Forwarder {
    address: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
}

impl Forwarder {
    /// Listens on `address` and forwards to `target`.
    ///
    /// # Panics
    /// Panics where the address cannot be listened on.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("the test's addresses are free");
        let address = listener.local_addr().expect("a listener has an address");
        let rules = Rules { usual: LinkMode::Open, sources: Vec::new() };
        let rules = Arc::new(watch::Sender::new(rules));
        tokio::spawn(serve(listener, target, Arc::clone(&rules)));
        Self { address, rules }
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does with connections from some addresses, also open ones.
    pub fn set_for(&self, sources: impl IntoIterator<Item = IpAddr>, mode: LinkMode) {
        let sources = sources.into_iter().map(|source| (source, mode)).collect();
        self.rules.send_modify(|rules| rules.sources = sources);
    }

    /// Changes what it does with all connections, also open ones.
    pub fn set(&self, mode: LinkMode) {
        self.rules.send_replace(Rules { usual: mode, sources: Vec::new() });
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

/// Connects from the address that the connection came from, as a network without proxies does.
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
        let now = rules.borrow().mode(source);
        if let LinkMode::Delayed(delay) = now {
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
