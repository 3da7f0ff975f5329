//! The refusal of a request, as reported to the caller.

use crate::Ran;

record! {
    /// The kind of a refusal; docs/API.md lists each with its remedy.
    #[derive(derive_more::Display)]
    pub enum RefusalKind {
        /// The request is malformed or violates the API.
        #[display("bad-request")]
        BadRequest,
        /// The request or a part of it exceeds a limit.
        #[display("too-large")]
        TooLarge,
        /// A service, group, shard or class is not declared.
        #[display("not-found")]
        NotFound,
        /// A non-idempotent request came without a ticket.
        #[display("ticket-needed")]
        TicketNeeded,
        /// The ticket is expired, forged or was used for another request.
        #[display("ticket-invalid")]
        TicketInvalid,
        /// The process that issued the ticket, and alone may run it, is gone or unreachable.
        #[display("ticket-home-lost")]
        TicketHomeLost,
        /// The ticket's request was executed, and its answer is no longer kept.
        #[display("answer-dropped")]
        AnswerDropped,
        /// The expected wait is longer than the time budget.
        #[display("overload")]
        Overload,
        /// The minimum coverage cannot be reached.
        #[display("coverage")]
        Coverage,
        /// The time budget ended.
        #[display("deadline")]
        Deadline,
        /// The request broke connections to targets that executed it.
        #[display("poison")]
        Poison,
        /// The process has no configuration yet, or is shutting down.
        #[display("not-ready")]
        NotReady,
    }
}

impl RefusalKind {
    /// Returns the HTTP status that carries this refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::TicketInvalid => 409,
            Self::AnswerDropped => 410,
            Self::TooLarge => 413,
            Self::Poison => 422,
            Self::TicketNeeded => 428,
            Self::Overload => 429,
            Self::TicketHomeLost => 502,
            Self::Coverage | Self::NotReady => 503,
            Self::Deadline => 504,
        }
    }

    /// Returns what the caller can do about it.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "correct the request as the message says",
            Self::NotFound => "name a service, group, shard and class that are declared",
            Self::TicketInvalid => "fetch a new ticket and send one request with it",
            Self::AnswerDropped => "the request ran; read its effect where it was made",
            Self::TooLarge => "send less, within the limits of docs/API.md",
            Self::Poison => "do not send this request again before the time to come back",
            Self::TicketNeeded => "send the request again with the ticket in this refusal",
            Self::Overload => "send again after the time to come back",
            Self::TicketHomeLost => {
                "ask again with the same ticket to learn the outcome; it is never run twice"
            }
            Self::Coverage => "send again after the time to come back, or accept a lower minimum coverage",
            Self::NotReady => "send to another entry, or again after the time to come back",
            Self::Deadline => "send again with a longer time budget",
        }
    }
}

record! {
    /// A refused request: the cause, whether it was executed, and when to retry.
    #[derive(Eq)]
    pub struct Refusal {
        /// The kind.
        pub kind: RefusalKind,
        /// Whether any target executed any part of the request.
        pub ran: Ran,
        /// One sentence that names the cause.
        pub message: String,
        /// Milliseconds after which a retry may succeed.
        pub retry_after_ms: Option<u64>,
    }
}

impl Refusal {
    /// Creates a refusal of a request that no target executed.
    #[must_use]
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self { kind, ran: Ran::No, message: message.into(), retry_after_ms: None }
    }

    /// Sets after how many milliseconds to retry.
    #[must_use]
    pub fn retry_after_ms(mut self, after: u64) -> Self {
        self.retry_after_ms = Some(after);
        self
    }
}
