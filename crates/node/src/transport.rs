//! A replacement for the network under an [`HttpClient`](crate::HttpClient).

use std::{fmt::Debug, net::SocketAddr};

use futures_util::future::BoxFuture;

use crate::{ExchangeError, HttpRequest, HttpResponse};

/// Transmits the requests of a process in place of the network.
///
/// Scenarios run whole daemons in one process on a paused clock; their transport
/// delays, loses and cuts off messages. It must not return a response before the peer
/// has given one.
pub trait Transport: Debug + Send + Sync + 'static {
    /// Sends a request to `to` and returns the response.
    ///
    /// # Errors
    /// Returns the failure, which tells whether the request may have arrived.
    fn send(
        &self,
        to: SocketAddr,
        request: HttpRequest,
    ) -> BoxFuture<'static, Result<HttpResponse, ExchangeError>>;
}
