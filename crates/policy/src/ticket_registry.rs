//! At-most-once execution without shared state.
//!
//! The entry that mints a ticket is the only process that ever runs its request;
//! docs/DESIGN.md, "At most once" says why this holds under partitions, pauses and
//! restarts.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, Incarnation};

use crate::Ticket;

#[derive(Clone, Debug)]
enum Execution<A> {
    Running,
    Answered(A),
    Dropped,
}

#[derive(Clone, Debug)]
struct UsedTicket<A> {
    number: u64,
    fingerprint: Fingerprint,
    expires: Instant,
    execution: Execution<A>,
}

/// The result of a claim, which says what may be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// Run the request; it was not run before.
    Run,
    /// The request is running; wait for its answer.
    Join,
    /// The request ran; this is its answer.
    Answered(A),
    /// The request ran, but its answer is no longer kept.
    Dropped,
    /// Another process minted the ticket; it listens at this address.
    Elsewhere(SocketAddr),
    /// This process minted the ticket in an earlier run, whose records are lost.
    HomeLost,
    /// This process did not mint the ticket: the signature is wrong.
    Forged,
    /// The ticket has expired; whether its request ran is no longer known.
    Expired,
    /// The ticket was used for another request.
    OtherRequest,
    /// The registry cannot hold another used ticket now.
    Full,
}

/// The tickets that one run of one process minted, with the executions of those in use.
#[derive(Clone, Debug)]
pub struct TicketRegistry<A> {
    home: SocketAddr,
    incarnation: Incarnation,
    key: [u8; blake3::KEY_LEN],
    started: Instant,
    lifetime: Duration,
    capacity: usize,
    answers_max: usize,
    minted: u64,
    answers: usize,
    used: Vec<UsedTicket<A>>,
}

impl<A: Clone> TicketRegistry<A> {
    /// Creates an empty registry.
    ///
    /// `key` must be drawn at random for each run; it keeps callers from forging tickets.
    /// `limits` are the lifetime of a ticket, the most used tickets that are kept, and the
    /// most answers that are kept with them.
    #[must_use]
    pub fn new(
        now: Instant,
        home: SocketAddr,
        incarnation: Incarnation,
        key: [u8; blake3::KEY_LEN],
        limits: (Duration, usize, usize),
    ) -> Self {
        let (lifetime, capacity, answers_max) = limits;
        Self {
            home,
            incarnation,
            key,
            started: now,
            lifetime,
            capacity,
            answers_max,
            minted: 0,
            answers: 0,
            used: Vec::new(),
        }
    }

    /// Mints a ticket.
    pub fn mint(&mut self, now: Instant) -> Ticket {
        self.minted += 1;
        let expires = now.saturating_duration_since(self.started) + self.lifetime;
        let mut ticket = Ticket {
            home: self.home,
            incarnation: self.incarnation,
            number: self.minted,
            expires_ms: expires.as_millis() as u64,
            signature: 0,
        };
        ticket.signature = self.signature(&ticket);
        ticket
    }

    /// Returns how long a new ticket is valid.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns the number of used tickets that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Tells whether no used ticket is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Claims a ticket for a request; only the first valid claim gets [`Claim::Run`].
    pub fn claim(&mut self, now: Instant, ticket: &Ticket, fingerprint: Fingerprint) -> Claim<A> {
        if ticket.incarnation != self.incarnation {
            return if ticket.home == self.home { Claim::HomeLost } else { Claim::Elsewhere(ticket.home) };
        }
        if ticket.signature != self.signature(ticket) {
            return Claim::Forged;
        }
        if let Ok(at) = self.find(ticket.number) {
            return self.claim_used(at, fingerprint);
        }
        let expires = self.started + Duration::from_millis(ticket.expires_ms);
        if expires <= now {
            return Claim::Expired;
        }
        self.drop_expired(now);
        if self.used.len() >= self.capacity {
            return Claim::Full;
        }
        let used = UsedTicket { number: ticket.number, fingerprint, expires, execution: Execution::Running };
        let at = self.find(ticket.number).unwrap_or_else(|at| at);
        self.used.insert(at, used);
        Claim::Run
    }

    /// Records the answer of a request that was run.
    pub fn record_answer(&mut self, ticket: &Ticket, answer: A) {
        let Ok(at) = self.find(ticket.number) else { return };
        if self.answers >= self.answers_max {
            self.drop_oldest_answer();
        }
        self.answers += 1;
        self.used[at].execution = Execution::Answered(answer);
    }

    fn claim_used(&self, at: usize, fingerprint: Fingerprint) -> Claim<A> {
        let used = &self.used[at];
        if used.fingerprint != fingerprint {
            return Claim::OtherRequest;
        }
        match &used.execution {
            Execution::Running => Claim::Join,
            Execution::Answered(answer) => Claim::Answered(answer.clone()),
            Execution::Dropped => Claim::Dropped,
        }
    }

    fn find(&self, number: u64) -> Result<usize, usize> {
        self.used.binary_search_by_key(&number, |used| used.number)
    }

    /// Drops expired tickets only, because an expired ticket is refused even where its record is gone.
    fn drop_expired(&mut self, now: Instant) {
        let keep = |used: &UsedTicket<A>| now < used.expires || matches!(used.execution, Execution::Running);
        self.used.retain(keep);
        self.answers =
            self.used.iter().filter(|used| matches!(used.execution, Execution::Answered(_))).count();
    }

    fn drop_oldest_answer(&mut self) {
        let oldest = self.used.iter_mut().find(|used| matches!(used.execution, Execution::Answered(_)));
        if let Some(used) = oldest {
            used.execution = Execution::Dropped;
            self.answers -= 1;
        }
    }

    fn signature(&self, ticket: &Ticket) -> u64 {
        let text = format!("{}_{}_{}_{}", ticket.home, ticket.incarnation, ticket.number, ticket.expires_ms);
        let hash = blake3::keyed_hash(&self.key, text.as_bytes());
        let mut signature = [0; 8];
        signature.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_be_bytes(signature)
    }
}
