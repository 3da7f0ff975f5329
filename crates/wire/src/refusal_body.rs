//! The JSON bodies of refusals and tickets.

use egret_model::{MissCause, QueryId, Ran, Refusal, RefusalKind, record};

record! {
    /// The body of a refusal to a caller; docs/API.md lists the kinds.
    #[derive(Eq)]
    pub struct RefusalBody {
        /// The kind of refusal, for programs.
        pub kind: RefusalKind,
        /// Whether any target ran any part of the request.
        pub ran: Ran,
        /// What happened, for people.
        pub message: String,
        /// What the caller can do about it.
        pub remedy: String,
        /// Milliseconds after which a retry may succeed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// A new ticket, if the request needs one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub ticket: Option<String>,
        /// The query's identifier, if it was assigned one before the refusal.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub query: Option<QueryId>,
        /// The distinct causes of missing shards, sorted.
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
    /// A ticket that a caller fetches before its query.
    #[derive(Eq)]
    pub struct TicketBody {
        /// The ticket.
        pub ticket: String,
        /// Milliseconds until the ticket expires.
        pub expires_in_ms: u64,
    }
}
