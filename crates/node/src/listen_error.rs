//! Errors of starting a daemon.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// A daemon that cannot start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address} ({source}): free the port or give another address")]
pub struct ListenError {
    pub(crate) address: SocketAddr,
    pub(crate) source: std::io::Error,
}
