//! The balancer's question whether this host takes work.

use std::sync::Arc;

use egret_node::{HttpHandler, HttpRequest, Reply};

use crate::core::Core;

/// Answers every path of the readiness address, which serves nothing else.
#[derive(Debug)]
pub(crate) struct ReadySite(pub(crate) Arc<Core>);

impl HttpHandler for ReadySite {
    async fn respond(&self, _: HttpRequest) -> Reply {
        if self.0.is_ready() { Reply::text(200, "ready\n") } else { Reply::text(503, "not ready\n") }
    }
}
