//! Sending queries.

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

/// The time budget of a query that names none.
const BUDGET: Duration = Duration::from_secs(10);
/// The time that an entry's answer may take beyond the query's budget.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A client of several entries; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Arc<[SocketAddr]>,
    next: Arc<AtomicUsize>,
    http: reqwest::Client,
}

/// What one exchange with an entry brought.
enum Tried {
    Answer(Box<QueryAnswer>),
    Refusal(Box<RefusalBody>),
    NotSent,
    Lost,
}

impl Client {
    /// Opens a client of the given entries.
    ///
    /// # Panics
    /// Panics where no entry is given, or where the library cannot be initialised.
    pub fn open(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        let entries: Arc<[SocketAddr]> = entries.into_iter().collect();
        assert!(!entries.is_empty(), "a client needs at least one entry");
        let http = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .expect("the client needs no resource that can be missing");
        Self { entries, next: Arc::new(AtomicUsize::new(fastrand::usize(..))), http }
    }

    /// Sends a query until it is answered, refused for good, or out of time.
    ///
    /// # Errors
    /// Returns the last refusal; its `ran` speaks for all tries, since an earlier one
    /// may have run although the last one did not.
    pub async fn query(&self, query: &Query) -> Result<QueryAnswer> {
        let mut request = query.request.clone();
        let budget = request.budget_ms.map_or(BUDGET, |ms| Duration::from_millis(u64::from(ms)));
        let deadline = Instant::now() + budget;
        if !request.idempotent && request.ticket.is_none() {
            request.ticket = Some(self.ticket().await?.ticket);
        }
        let mut last = Error::unreachable(false);
        let mut ran = Ran::No;
        loop {
            let wait = match self.send(&request, deadline).await {
                Tried::Answer(answer) => return Ok(*answer),
                Tried::Refusal(body) => {
                    last = Error::refused((*body).clone());
                    ran = ran.combine(body.ran);
                    if !may_come_back(&mut request, &body) {
                        return Err(last.with_ran(ran));
                    }
                    body.retry_after_ms.map_or(RETRY_AFTER, Duration::from_millis)
                }
                Tried::NotSent => RETRY_AFTER,
                Tried::Lost => {
                    last = Error::unreachable(true);
                    ran = ran.combine(Ran::Unknown);
                    RETRY_AFTER
                }
            };
            if Instant::now() + wait >= deadline {
                return Err(last.with_ran(ran));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Sends a query once and returns what the entry says.
    ///
    /// # Errors
    /// Returns the refusal, or that no answer came.
    pub async fn query_once(&self, query: &Query) -> Result<QueryAnswer> {
        let budget = query.request.budget_ms.map_or(BUDGET, |ms| Duration::from_millis(u64::from(ms)));
        match self.send(&query.request, Instant::now() + budget).await {
            Tried::Answer(answer) => Ok(*answer),
            Tried::Refusal(body) => Err(Error::refused(*body)),
            Tried::NotSent => Err(Error::unreachable(false)),
            Tried::Lost => Err(Error::unreachable(true)),
        }
    }

    /// Fetches a ticket ahead of its query.
    ///
    /// # Errors
    /// Fails where no entry answers.
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

    async fn send(&self, request: &QueryRequest, deadline: Instant) -> Tried {
        let left = deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{}{QUERY_PATH}", self.next_entry());
        let sent = self.http.post(url).json(request).timeout(left + ANSWER_MARGIN).send().await;
        let response = match sent {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Tried::NotSent,
            Err(_) => return Tried::Lost,
        };
        let answered = response.status().is_success();
        let Ok(body) = response.bytes().await else { return Tried::Lost };
        if answered {
            serde_json::from_slice(&body).map_or(Tried::Lost, |answer| Tried::Answer(Box::new(answer)))
        } else {
            serde_json::from_slice(&body).map_or(Tried::Lost, |refusal| Tried::Refusal(Box::new(refusal)))
        }
    }
}

/// Tells whether a refused request may be sent again, and gives it a fresh ticket where it needs one.
fn may_come_back(request: &mut QueryRequest, body: &RefusalBody) -> bool {
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
