//! The interface for other entries and operators.

use egret_node::{HttpHandler, HttpRequest, Reply};
use egret_wire::FORWARD_PATH;

use crate::{Entry, caller_site::query, tickets::Hop};

/// Serves requests that other entries pass on, and operators.
#[derive(Debug)]
pub struct InternalSite {
    entry: Entry,
}

impl InternalSite {
    pub(crate) fn new(entry: Entry) -> Self {
        Self { entry }
    }
}

impl HttpHandler for InternalSite {
    async fn respond(&self, call: HttpRequest) -> Reply {
        if let Some(reply) = self.entry.ops().respond(&call) {
            return reply;
        }
        match call.path.as_str() {
            FORWARD_PATH => query(&self.entry, &call.body, Hop::Entry).await,
            _ => Reply::not_found(),
        }
    }
}
