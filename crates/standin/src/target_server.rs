//! The plain connections of a stand-in target.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{Target, http_message::read_request, target::Inner};

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl Target {
    pub(crate) async fn serve(self, mut listener: TcpListener) {
        let mut crashes = self.inner.crashes.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    match accepted {
                        Ok((stream, _)) => drop(tokio::spawn(self.clone().connection(stream))),
                        // Without a pause a lasting error would occupy the thread.
                        Err(_) => sleep(ACCEPT_PAUSE).await,
                    }
                }
                _ = crashes.changed() => {
                    drop(listener);
                    self.wait_for_restart().await;
                    listener = match rebind(self.address).await {
                        Some(listener) => listener,
                        None => return,
                    };
                    self.inner.is_down.store(false, Ordering::SeqCst);
                }
            }
        }
    }

    async fn connection(self, mut stream: TcpStream) {
        let _open = OpenConnection::begin(&self.inner);
        let mut crashes = self.inner.crashes.subscribe();
        let _ = stream.set_nodelay(true);
        let delay = self.behaviour().connect_us;
        if delay > 0 {
            sleep(Duration::from_micros(delay)).await;
        }
        tokio::select! {
            _ = self.exchanges(&mut stream) => {}
            _ = crashes.changed() => {
                // A crash resets connections rather than closing them in order.
                let _ = stream.set_zero_linger();
            }
        }
    }

    async fn exchanges(&self, stream: &mut TcpStream) -> Option<()> {
        let mut stream = BufReader::new(stream);
        let peer = stream.get_ref().peer_addr().ok()?.ip();
        loop {
            let request = read_request(&mut stream).await?;
            let delay = self.behaviour().delay_of(peer);
            pass(delay).await;
            let response = self.respond(request).await;
            pass(delay).await;
            let text = format!(
                "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                response.status,
                response.body.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend_from_slice(&response.body);
            if response.truncated {
                bytes.truncate(bytes.len() - response.body.len() / 2);
            }
            stream.get_mut().write_all(&bytes).await.ok()?;
            if response.truncated {
                return None;
            }
        }
    }
}

struct OpenConnection<'a>(&'a Inner);

impl<'a> OpenConnection<'a> {
    fn begin(inner: &'a Inner) -> Self {
        let open = inner.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        inner.max_open_connections.fetch_max(open, Ordering::SeqCst);
        Self(inner)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    const TRIES: u32 = 200;
    for _ in 0..TRIES {
        let socket = tokio::net::TcpSocket::new_v4().ok()?;
        socket.set_reuseaddr(true).ok()?;
        if socket.bind(address).is_ok()
            && let Ok(listener) = socket.listen(1024)
        {
            return Some(listener);
        }
        sleep(Duration::from_millis(25)).await;
    }
    None
}

/// Waits for a message on its way; a timer of no time would still wait for its next step.
async fn pass(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
