//! The client, which sends queries and retries them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use egret_model::{Ran, RefusalKind};
use egret_wire::{QUERY_PATH, QueryAnswer, QueryRequest, RefusalBody, TICKET_PATH, TicketBody};
use tokio::time::Instant;

use crate::{Error, Query, Result};

/// How long a query without a time budget of its own is retried.
const DEFAULT_BUDGET: Duration = Duration::from_secs(10);
/// How long after the query's deadline an answer may arrive: the entry may use the whole budget.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The delay before a retry, unless a refusal sets another one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A client that spreads requests over several entries in turn; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Arc<[SocketAddr]>,
    next: Arc<AtomicUsize>,
    http: reqwest::Client,
}

/// The result of sending a query to one entry once.
enum AttemptResult {
    Answer(Box<QueryAnswer>),
    Refusal(Box<RefusalBody>),
    /// No connection could be opened, so the query was not run.
    NotSent,
    /// No usable response arrived; the query may have been run.
    NoAnswer,
}

impl Client {
    /// Creates a client of the given entries.
    ///
    /// # Panics
    /// Panics if no entry is given or if the HTTP library cannot be initialised.
    pub fn open(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        let entries: Arc<[SocketAddr]> = entries.into_iter().collect();
        assert!(!entries.is_empty(), "a client needs at least one entry");
        let http = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .expect("the HTTP client can be built without external resources");
        Self { entries, next: Arc::new(AtomicUsize::new(fastrand::usize(..))), http }
    }

    /// Sends a query and retries it until it is answered, refused in a way that rules out a retry, or
    /// out of time.
    ///
    /// A non-idempotent query without a ticket first gets one.
    ///
    /// # Errors
    /// Returns the last failure. Its `ran` covers all attempts, since an earlier one may
    /// have run although the last one did not.
    pub async fn query(&self, query: &Query) -> Result<QueryAnswer> {
        let mut request = query.request.clone();
        let budget = request.budget_ms.map_or(DEFAULT_BUDGET, |ms| Duration::from_millis(u64::from(ms)));
        let deadline = Instant::now() + budget;
        if !request.idempotent && request.ticket.is_none() {
            request.ticket = Some(self.ticket().await?.ticket);
        }
        let mut last = Error::unreachable(false);
        let mut ran = Ran::No;
        loop {
            let wait = match self.send(&request, deadline).await {
                AttemptResult::Answer(answer) => return Ok(*answer),
                AttemptResult::Refusal(body) => {
                    last = Error::refused((*body).clone());
                    ran = ran.combine(body.ran);
                    if !prepare_retry(&mut request, &body) {
                        return Err(last.with_ran(ran));
                    }
                    body.retry_after_ms.map_or(DEFAULT_RETRY_DELAY, Duration::from_millis)
                }
                AttemptResult::NotSent => DEFAULT_RETRY_DELAY,
                AttemptResult::NoAnswer => {
                    last = Error::unreachable(true);
                    ran = ran.combine(Ran::Unknown);
                    DEFAULT_RETRY_DELAY
                }
            };
            if Instant::now() + wait >= deadline {
                return Err(last.with_ran(ran));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Sends a query once, without retries.
    ///
    /// # Errors
    /// Returns the refusal, or an error that says that no entry answered.
    pub async fn query_once(&self, query: &Query) -> Result<QueryAnswer> {
        let budget =
            query.request.budget_ms.map_or(DEFAULT_BUDGET, |ms| Duration::from_millis(u64::from(ms)));
        match self.send(&query.request, Instant::now() + budget).await {
            AttemptResult::Answer(answer) => Ok(*answer),
            AttemptResult::Refusal(body) => Err(Error::refused(*body)),
            AttemptResult::NotSent => Err(Error::unreachable(false)),
            AttemptResult::NoAnswer => Err(Error::unreachable(true)),
        }
    }

    /// Fetches a ticket for a later query.
    ///
    /// # Errors
    /// Fails if no entry issues a ticket.
    pub async fn ticket(&self) -> Result<TicketBody> {
        for _ in 0..self.entries.len() {
            let request = self.http.post(format!("http://{}{TICKET_PATH}", self.next_entry()));
            let Ok(response) = request.timeout(CONNECT_TIMEOUT).send().await else { continue };
            if let Ok(ticket) = response.json().await {
                return Ok(ticket);
            }
        }
        Err(Error::unreachable(false))
    }

    fn next_entry(&self) -> SocketAddr {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        self.entries[next % self.entries.len()]
    }

    async fn send(&self, request: &QueryRequest, deadline: Instant) -> AttemptResult {
        let left = deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{}{QUERY_PATH}", self.next_entry());
        let sent = self.http.post(url).json(request).timeout(left + RESPONSE_MARGIN).send().await;
        let response = match sent {
            Ok(response) => response,
            Err(error) if error.is_connect() => return AttemptResult::NotSent,
            Err(_) => return AttemptResult::NoAnswer,
        };
        let answered = response.status().is_success();
        let Ok(body) = response.bytes().await else { return AttemptResult::NoAnswer };
        if answered {
            serde_json::from_slice(&body)
                .map_or(AttemptResult::NoAnswer, |answer| AttemptResult::Answer(Box::new(answer)))
        } else {
            serde_json::from_slice(&body)
                .map_or(AttemptResult::NoAnswer, |refusal| AttemptResult::Refusal(Box::new(refusal)))
        }
    }
}

/// Returns whether a refused request may be sent again, and updates its ticket.
///
/// After a refusal that says that the request was not run, it gets the new ticket of the refusal, if
/// there is one. Otherwise it keeps its ticket, with which it runs at most once.
fn prepare_retry(request: &mut QueryRequest, body: &RefusalBody) -> bool {
    use RefusalKind as Kind;
    if !request.idempotent && body.ran == Ran::No && body.ticket.is_some() {
        request.ticket.clone_from(&body.ticket);
    }
    match body.kind {
        Kind::TicketHomeLost => true,
        Kind::TicketInvalid | Kind::TicketNeeded => body.ran == Ran::No,
        Kind::Overload | Kind::Coverage | Kind::NotReady | Kind::Deadline => {
            request.idempotent || body.ran == Ran::No
        }
        Kind::BadRequest | Kind::TooLarge | Kind::NotFound | Kind::AnswerDropped | Kind::Poison => false,
    }
}
