//! The error of a server that cannot listen on its address.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// A server that cannot listen on its address.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address} ({source}): free the port or give another address")]
pub struct ListenError {
    pub(crate) address: SocketAddr,
    pub(crate) source: std::io::Error,
}
