//! Tickets, by which a non-idempotent request runs at most once.
//!
//! A request runs only on its home, the entry that minted its ticket.

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

/// When a caller should retry a request that was refused because too many used tickets are kept.
const FULL_RETRY_AFTER_MS: u64 = 1000;
/// When a caller should retry a request whose outcome is not known.
const LOST_RETRY_AFTER_MS: u64 = 1000;
/// How much longer than the time budget the entry waits for the home's reply to a forwarded request.
const FORWARD_REPLY_MARGIN: Duration = Duration::from_millis(50);
/// The pause before a request is forwarded again after a connection error: long enough for a network
/// path to come back, short compared with a caller's time budget.
const RESEND_PAUSE: Duration = Duration::from_millis(40);

/// The tickets that this run of the entry minted.
#[derive(Debug)]
pub(crate) struct Tickets {
    registry: Mutex<TicketRegistry<Outcome>>,
    /// The number of finished requests with a ticket; each change wakes the requests that wait for
    /// an outcome.
    completions: watch::Sender<u64>,
}

impl Tickets {
    pub(crate) fn new(registry: TicketRegistry<Outcome>) -> Self {
        Self { registry: Mutex::new(registry), completions: watch::Sender::new(0) }
    }

    pub(crate) fn mint(&self) -> TicketBody {
        let mut registry = self.lock();
        let ticket = registry.mint(now());
        TicketBody { ticket: ticket.to_string(), expires_in_ms: registry.lifetime().as_millis() as u64 }
    }

    fn claim(&self, ticket: &Ticket, fingerprint: Fingerprint) -> Claim<Outcome> {
        self.lock().claim(now(), ticket, fingerprint)
    }

    fn record_outcome(&self, ticket: &Ticket, outcome: Outcome) {
        self.lock().record_answer(ticket, outcome);
        self.completions.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, TicketRegistry<Outcome>> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// A caller.
    Caller,
    /// Another entry; its requests must not be forwarded again.
    Entry,
}

/// Answers a non-idempotent request: runs it, waits for its running execution, or forwards it to
/// its home.
pub(crate) async fn answer_with_ticket(entry: &Entry, request: QueryRequest, source: RequestSource) -> Reply {
    let Some(text) = &request.ticket else {
        let message = "a non-idempotent request needs a ticket";
        let refusal = Refusal::not_run(RefusalKind::TicketNeeded, message);
        return with_new_ticket(entry, Outcome::refuse(refusal)).reply();
    };
    let ticket: Ticket = match text.parse() {
        Ok(ticket) => ticket,
        Err(error) => return refuse_invalid_ticket(entry, &format!("{error}"), Ran::No),
    };
    let fingerprint = ticket_fingerprint(&request);
    match entry.tickets().claim(&ticket, fingerprint) {
        Claim::Run => run_once(entry, ticket, request).await,
        Claim::Join => wait_for_outcome(entry, &ticket, fingerprint, &request).await,
        Claim::Answered(outcome) => outcome.reply(),
        Claim::Dropped => refuse(RefusalKind::AnswerDropped, Ran::Yes, "the ticket was used before", None),
        Claim::Forged => refuse_invalid_ticket(entry, "this entry did not mint the ticket", Ran::No),
        Claim::OtherRequest => {
            refuse_invalid_ticket(entry, "the ticket was used for another request", Ran::No)
        }
        Claim::Expired => refuse_invalid_ticket(entry, "the ticket is expired", Ran::Unknown),
        Claim::Full => {
            let message = "too many tickets are remembered";
            refuse(RefusalKind::Overload, Ran::No, message, Some(FULL_RETRY_AFTER_MS))
        }
        Claim::HomeLost => refuse_home_lost("the entry that minted the ticket was restarted"),
        Claim::Elsewhere(_) if source == RequestSource::Entry => {
            refuse_home_lost("the ticket's home is not this entry")
        }
        Claim::Elsewhere(home) => forward(entry, home, &request).await,
    }
}

/// Runs the request in a task of its own, so that a caller who disconnects does not stop it half way.
async fn run_once(entry: &Entry, ticket: Ticket, request: QueryRequest) -> Reply {
    let runner = entry.clone();
    let running = tokio::spawn(async move {
        let mut outcome = runner.run_query(&request).await;
        if matches!(&outcome, Outcome::Refusal(body) if body.ran == Ran::No) {
            outcome = with_new_ticket(&runner, outcome);
        }
        runner.tickets().record_outcome(&ticket, outcome.clone());
        outcome
    });
    match running.await {
        Ok(outcome) => outcome.reply(),
        Err(_) => refuse(RefusalKind::Deadline, Ran::Unknown, "the request ended without an outcome", None),
    }
}

/// Waits for the outcome of a request that is already running.
async fn wait_for_outcome(
    entry: &Entry,
    ticket: &Ticket,
    fingerprint: Fingerprint,
    request: &QueryRequest,
) -> Reply {
    let mut completions = entry.tickets().completions.subscribe();
    let outcome = async {
        loop {
            completions.borrow_and_update();
            match entry.tickets().claim(ticket, fingerprint) {
                Claim::Answered(outcome) => return outcome.reply(),
                Claim::Join => {}
                _ => return refuse(RefusalKind::AnswerDropped, Ran::Yes, "the ticket was used before", None),
            }
            if completions.changed().await.is_err() {
                return refuse_home_lost("the entry is shutting down");
            }
        }
    };
    tokio::time::timeout(entry.budget(request), outcome).await.unwrap_or_else(|_| {
        let message = "the request still runs";
        refuse(RefusalKind::Deadline, Ran::Unknown, message, Some(LOST_RETRY_AFTER_MS))
    })
}

/// Forwards the request to the entry that minted its ticket.
async fn forward(entry: &Entry, home: SocketAddr, request: &QueryRequest) -> Reply {
    if !entry.is_known_entry(home) {
        return refuse_home_lost("the ticket's home is not in the host list");
    }
    entry.journal().record(Code::TicketForwarded, None, format!("to {home}"));
    let end_at = now() + entry.budget(request) + FORWARD_REPLY_MARGIN;
    loop {
        let within = end_at.saturating_duration_since(now());
        match entry.client().post_json(home, FORWARD_PATH, request, within).await {
            Ok(response) => return home_reply(&response),
            Err(ExchangeError::Timeout { .. }) => {
                return refuse_home_lost("the ticket's home did not answer in time");
            }
            // Resending is safe: the home runs a ticket's request once, however often it arrives.
            Err(_) if now() + RESEND_PAUSE < end_at => tokio::time::sleep(RESEND_PAUSE).await,
            Err(error) => return refuse_home_lost(&format!("the ticket's home cannot be reached: {error}")),
        }
    }
}

fn home_reply(response: &HttpResponse) -> Reply {
    match serde_json::from_slice::<Box<serde_json::value::RawValue>>(&response.body) {
        Ok(body) => Reply::json(response.status, &body).retry_after_ms(retry_after(&response.body)),
        Err(_) => refuse_home_lost("the ticket's home answered nonsense"),
    }
}

fn retry_after(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<RefusalBody>(body).ok()?.retry_after_ms
}

/// Hashes the parts of a request that its ticket is bound to: all but the ticket and the time budget.
fn ticket_fingerprint(request: &QueryRequest) -> Fingerprint {
    let unbound = QueryRequest { ticket: None, budget_ms: None, ..request.clone() };
    let text = serde_json::to_string(&unbound).unwrap_or_default();
    Fingerprint::of(request.class.as_str(), &text)
}

fn with_new_ticket(entry: &Entry, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refusal(mut body) => {
            body.ticket = Some(entry.tickets().mint().ticket);
            Outcome::Refusal(body)
        }
        answer @ Outcome::Answer(_) => answer,
    }
}

fn refuse_invalid_ticket(entry: &Entry, message: &str, ran: Ran) -> Reply {
    let refusal = Refusal { ran, ..Refusal::not_run(RefusalKind::TicketInvalid, message) };
    with_new_ticket(entry, Outcome::refuse(refusal)).reply()
}

fn refuse_home_lost(message: &str) -> Reply {
    refuse(RefusalKind::TicketHomeLost, Ran::Unknown, message, Some(LOST_RETRY_AFTER_MS))
}

fn refuse(kind: RefusalKind, ran: Ran, message: &str, retry_after_ms: Option<u64>) -> Reply {
    Outcome::refuse(Refusal { kind, ran, message: message.to_owned(), retry_after_ms }).reply()
}

/// Creates the ticket registry for this run of the entry.
pub(crate) fn new_registry(
    options: &Options,
    incarnation: egret_model::Incarnation,
    now: Instant,
) -> TicketRegistry<Outcome> {
    let limits = (options.ticket_lifetime, options.used_tickets_max, options.ticket_answers_max);
    TicketRegistry::new(now, options.internal_address, incarnation, egret_node::new_secret_key(), limits)
}
