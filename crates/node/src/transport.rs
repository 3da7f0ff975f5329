//! Carrying requests without a network.

use std::{fmt::Debug, net::SocketAddr};

use futures_util::future::BoxFuture;

use crate::{ExchangeError, HttpRequest, HttpResponse};

/// Carries a process's requests in place of the network.
///
/// Scenarios run whole daemons in one process on a paused clock; a carrier of their
/// own delays, loses and cuts messages there. It must not answer before the peer did.
pub trait Transport: Debug + Send + Sync + 'static {
    /// Carries a request to `to` and its answer back.
    ///
    /// # Errors
    /// Says whether the request may have arrived.
    fn send(
        &self,
        to: SocketAddr,
        call: HttpRequest,
    ) -> BoxFuture<'static, Result<HttpResponse, ExchangeError>>;
}
