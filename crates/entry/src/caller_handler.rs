//! The HTTP interface for callers; docs/API.md describes it.

use egret_model::{Refusal, RefusalKind};
use egret_node::{BodyError, HttpHandler, HttpRequest, Reply};
use egret_wire::{LIVE_PATH, QUERY_PATH, QueryRequest, READY_PATH, TICKET_PATH};

use crate::{
    Entry,
    outcome::Outcome,
    tickets::{self, RequestSource},
};

/// Serves callers and their load balancer.
#[derive(Debug)]
pub struct CallerHandler {
    entry: Entry,
}

impl CallerHandler {
    pub(crate) fn new(entry: Entry) -> Self {
        Self { entry }
    }
}

impl HttpHandler for CallerHandler {
    async fn respond(&self, call: HttpRequest) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", QUERY_PATH) => answer_query(&self.entry, &call.body, RequestSource::Caller).await,
            // A ticket can be used only while the entry that minted it runs.
            ("POST", TICKET_PATH) if self.entry.ops().is_shutting_down() => refuse(
                Refusal::not_run(RefusalKind::NotReady, "the entry is shutting down").retry_after_ms(0),
            ),
            ("POST", TICKET_PATH) => Reply::json(200, &self.entry.tickets().mint()),
            ("GET", LIVE_PATH | READY_PATH) => {
                self.entry.ops().respond(&call).unwrap_or_else(Reply::not_found)
            }
            _ => refuse(Refusal::not_run(RefusalKind::NotFound, "no such path or method: see docs/API.md")),
        }
    }

    fn respond_to_bad_body(&self, error: BodyError) -> Reply {
        let kind = match error {
            BodyError::TooLarge => RefusalKind::TooLarge,
            BodyError::TooSlow | BodyError::Broken => RefusalKind::BadRequest,
            BodyError::NoMemory => RefusalKind::Overload,
        };
        refuse(Refusal::not_run(kind, error.to_string()))
    }
}

/// Decodes a query, runs it and returns the reply.
pub(crate) async fn answer_query(entry: &Entry, body: &[u8], source: RequestSource) -> Reply {
    let request: QueryRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => {
            return refuse(Refusal::not_run(
                RefusalKind::BadRequest,
                format!("the query cannot be read: {error}"),
            ));
        }
    };
    if request.idempotent && request.ticket.is_some() {
        let message = "an idempotent request takes no ticket: remove it, or set idempotent to false";
        return refuse(Refusal::not_run(RefusalKind::BadRequest, message));
    }
    if request.idempotent {
        return entry.run_query(&request).await.reply();
    }
    tickets::answer_with_ticket(entry, request, source).await
}

fn refuse(refusal: Refusal) -> Reply {
    Outcome::refuse(refusal).reply()
}
