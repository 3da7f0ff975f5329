//! The body of a refusal and of a ticket.

use egret_model::{MissCause, QueryId, Ran, Refusal, RefusalKind, record};

record! {
    /// A refusal as callers see it; docs/API.md lists the kinds.
    #[derive(Eq)]
    pub struct RefusalBody {
        /// The kind.
        pub kind: RefusalKind,
        /// Whether any target ran any part of the request.
        pub ran: Ran,
        /// What happened.
        pub message: String,
        /// What the caller can do.
        pub remedy: String,
        /// Milliseconds after which asking again makes sense.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// A fresh ticket, where one was needed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub ticket: Option<String>,
        /// The query's identifier, where one was given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub query: Option<QueryId>,
        /// The causes of missing shards, sorted, each once.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub causes: Vec<MissCause>,
    }
}

impl From<Refusal> for RefusalBody {
    fn from(refusal: Refusal) -> Self {
        Self {
            kind: refusal.kind,
            ran: refusal.ran,
            message: refusal.message,
            remedy: refusal.kind.remedy().to_owned(),
            retry_after_ms: refusal.retry_after_ms,
            ticket: None,
            query: None,
            causes: Vec::new(),
        }
    }
}

record! {
    /// A ticket fetched ahead.
    #[derive(Eq)]
    pub struct TicketBody {
        /// The ticket.
        pub ticket: String,
        /// Milliseconds after which it is no longer taken.
        pub expires_in_ms: u64,
    }
}
