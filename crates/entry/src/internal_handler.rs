//! The interface for other entries and operators.

use egret_node::{HttpHandler, HttpRequest, Reply};
use egret_wire::FORWARD_PATH;

use crate::{Entry, caller_handler::query, tickets::Hop};

/// Serves requests that other entries pass on, and operators.
#[derive(Debug)]
pub struct InternalHandler {
    entry: Entry,
}

impl InternalHandler {
    pub(crate) fn new(entry: Entry) -> Self {
        Self { entry }
    }
}

impl HttpHandler for InternalHandler {
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
