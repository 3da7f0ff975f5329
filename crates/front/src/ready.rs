//! The HTTP handler of the load balancer's readiness checks.

use std::sync::Arc;

use egret_node::{HttpHandler, HttpRequest, Reply};

use crate::core::Core;

/// Responds to every path, because the readiness address serves nothing else.
#[derive(Debug)]
pub(crate) struct ReadySite(pub(crate) Arc<Core>);

impl HttpHandler for ReadySite {
    async fn respond(&self, _: HttpRequest) -> Reply {
        if self.0.is_ready() { Reply::text(200, "ready\n") } else { Reply::text(503, "not ready\n") }
    }
}
