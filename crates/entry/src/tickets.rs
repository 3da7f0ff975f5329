//! Running non-idempotent requests at most once.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use egret_events::Code;
use egret_model::{Fingerprint, Ran, Refusal, RefusalKind};
use egret_node::{ExchangeError, HttpResponse, Reply};
use egret_policy::{Claim, Ticket, TicketRegistry};
use egret_wire::{FORWARD_PATH, QueryRequest, RefusalBody, TicketBody};
use tokio::sync::watch;

use crate::{Entry, Options, entry::now, outcome::Outcome};

const FULL_RETRY_AFTER_MS: u64 = 1000;
const LOST_RETRY_AFTER_MS: u64 = 1000;
const FORWARD_MARGIN: Duration = Duration::from_millis(50);
/// The pause before a request goes to its home again after the connection failed; long enough for
/// a restarted network path, short beside a caller's budget.
const RESEND_PAUSE: Duration = Duration::from_millis(40);

/// The tickets of this run of the entry.
#[derive(Debug)]
pub(crate) struct Tickets {
    book: Mutex<TicketRegistry<Outcome>>,
    /// Changes whenever a request with a ticket ends.
    ends: watch::Sender<u64>,
}

impl Tickets {
    pub(crate) fn open(book: TicketRegistry<Outcome>) -> Self {
        Self { book: Mutex::new(book), ends: watch::Sender::new(0) }
    }

    pub(crate) fn mint(&self) -> TicketBody {
        let mut book = self.lock();
        let ticket = book.mint(now());
        TicketBody { ticket: ticket.to_string(), expires_in_ms: book.lifetime().as_millis() as u64 }
    }

    fn claim(&self, ticket: &Ticket, fingerprint: Fingerprint) -> Claim<Outcome> {
        self.lock().claim(now(), ticket, fingerprint)
    }

    fn ended(&self, ticket: &Ticket, outcome: Outcome) {
        self.lock().record_answer(ticket, outcome);
        self.ends.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, TicketRegistry<Outcome>> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// From a caller.
    Caller,
    /// From another entry, which must not be sent on again.
    Entry,
}

/// Answers a non-idempotent request: runs it, joins it, or sends it to its home.
pub(crate) async fn answer(entry: &Entry, request: QueryRequest, hop: Hop) -> Reply {
    let Some(text) = &request.ticket else {
        let message = "a non-idempotent request needs a ticket";
        let refusal = Refusal::not_run(RefusalKind::TicketNeeded, message);
        return with_fresh_ticket(entry, Outcome::refuse(refusal)).reply();
    };
    let ticket: Ticket = match text.parse() {
        Ok(ticket) => ticket,
        Err(error) => return invalid(entry, &format!("{error}"), Ran::No),
    };
    let fingerprint = fingerprint(&request);
    match entry.tickets().claim(&ticket, fingerprint) {
        Claim::Run => run(entry, ticket, request).await,
        Claim::Join => join(entry, &ticket, fingerprint, &request).await,
        Claim::Answered(outcome) => outcome.reply(),
        Claim::Dropped => refuse(RefusalKind::AnswerDropped, Ran::Yes, "the ticket was used before", None),
        Claim::Forged => invalid(entry, "this entry did not mint the ticket", Ran::No),
        Claim::OtherRequest => invalid(entry, "the ticket was used for another request", Ran::No),
        Claim::Expired => invalid(entry, "the ticket is expired", Ran::Unknown),
        Claim::Full => {
            let message = "too many tickets are remembered";
            refuse(RefusalKind::Overload, Ran::No, message, Some(FULL_RETRY_AFTER_MS))
        }
        Claim::HomeLost => lost("the entry that minted the ticket was restarted"),
        Claim::Elsewhere(_) if hop == Hop::Entry => lost("the ticket's home is not this entry"),
        Claim::Elsewhere(home) => forward(entry, home, &request).await,
    }
}

/// Runs the request on its own, so that a caller who hangs up does not stop it half way.
async fn run(entry: &Entry, ticket: Ticket, request: QueryRequest) -> Reply {
    let runner = entry.clone();
    let running = tokio::spawn(async move {
        let mut outcome = runner.run(&request).await;
        if matches!(&outcome, Outcome::Refusal(body) if body.ran == Ran::No) {
            outcome = with_fresh_ticket(&runner, outcome);
        }
        runner.tickets().ended(&ticket, outcome.clone());
        outcome
    });
    match running.await {
        Ok(outcome) => outcome.reply(),
        Err(_) => refuse(RefusalKind::Deadline, Ran::Unknown, "the request ended without an outcome", None),
    }
}

/// Waits for the outcome of a request that runs already.
async fn join(entry: &Entry, ticket: &Ticket, fingerprint: Fingerprint, request: &QueryRequest) -> Reply {
    let mut ends = entry.tickets().ends.subscribe();
    let ended = async {
        loop {
            ends.borrow_and_update();
            match entry.tickets().claim(ticket, fingerprint) {
                Claim::Answered(outcome) => return outcome.reply(),
                Claim::Join => {}
                _ => return refuse(RefusalKind::AnswerDropped, Ran::Yes, "the ticket was used before", None),
            }
            if ends.changed().await.is_err() {
                return lost("the entry is shutting down");
            }
        }
    };
    tokio::time::timeout(entry.budget(request), ended).await.unwrap_or_else(|_| {
        let message = "the request still runs";
        refuse(RefusalKind::Deadline, Ran::Unknown, message, Some(LOST_RETRY_AFTER_MS))
    })
}

/// Sends the request to the entry that minted its ticket.
async fn forward(entry: &Entry, home: SocketAddr, request: &QueryRequest) -> Reply {
    if !entry.is_known_entry(home) {
        return lost("the ticket's home is not in the host list");
    }
    entry.journal().record(Code::TicketForwarded, None, format!("to {home}"));
    let end_at = now() + entry.budget(request) + FORWARD_MARGIN;
    loop {
        let within = end_at.saturating_duration_since(now());
        match entry.client().post_json(home, FORWARD_PATH, request, within).await {
            Ok(exchange) => return relay(&exchange),
            Err(ExchangeError::Timeout { .. }) => return lost("the ticket's home did not answer in time"),
            // The ticket lets the home run the request once, however often it arrives.
            Err(_) if now() + RESEND_PAUSE < end_at => tokio::time::sleep(RESEND_PAUSE).await,
            Err(error) => return lost(&format!("the ticket's home cannot be reached: {error}")),
        }
    }
}

fn relay(exchange: &HttpResponse) -> Reply {
    match serde_json::from_slice::<Box<serde_json::value::RawValue>>(&exchange.body) {
        Ok(body) => Reply::json(exchange.status, &body).retry_after_ms(retry_after(&exchange.body)),
        Err(_) => lost("the ticket's home answered nonsense"),
    }
}

fn retry_after(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<RefusalBody>(body).ok()?.retry_after_ms
}

/// Hashes everything that a ticket is bound to.
fn fingerprint(request: &QueryRequest) -> Fingerprint {
    let unbound = QueryRequest { ticket: None, budget_ms: None, ..request.clone() };
    let text = serde_json::to_string(&unbound).unwrap_or_default();
    Fingerprint::of(request.class.as_str(), &text)
}

fn with_fresh_ticket(entry: &Entry, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refusal(mut body) => {
            body.ticket = Some(entry.tickets().mint().ticket);
            Outcome::Refusal(body)
        }
        answer @ Outcome::Answer(_) => answer,
    }
}

fn invalid(entry: &Entry, message: &str, ran: Ran) -> Reply {
    let refusal = Refusal { ran, ..Refusal::not_run(RefusalKind::TicketInvalid, message) };
    with_fresh_ticket(entry, Outcome::refuse(refusal)).reply()
}

fn lost(message: &str) -> Reply {
    refuse(RefusalKind::TicketHomeLost, Ran::Unknown, message, Some(LOST_RETRY_AFTER_MS))
}

fn refuse(kind: RefusalKind, ran: Ran, message: &str, retry_after_ms: Option<u64>) -> Reply {
    Outcome::refuse(Refusal { kind, ran, message: message.to_owned(), retry_after_ms }).reply()
}

/// Opens the book of this run.
pub(crate) fn open_book(
    options: &Options,
    incarnation: egret_model::Incarnation,
    now: Instant,
) -> TicketRegistry<Outcome> {
    let limits = (options.ticket_lifetime, options.tickets_max, options.ticket_answers_max);
    TicketRegistry::new(now, options.internal, incarnation, egret_node::new_secret_key(), limits)
}
