//! At-most-once execution without shared state.
//!
//! The entry that mints a ticket is the only process that ever runs its request;
//! docs/DESIGN.md, "At most once" says why this holds under partition, pause and
//! restart.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, Incarnation};

use crate::Ticket;

#[derive(Clone, Debug)]
enum Progress<A> {
    Running,
    Answered(A),
    Dropped,
}

#[derive(Clone, Debug)]
struct Used<A> {
    number: u64,
    fingerprint: Fingerprint,
    expires: Instant,
    progress: Progress<A>,
}

/// What may be done with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// Run the request; nobody did so before.
    Run,
    /// The request runs now; wait for its answer.
    Join,
    /// The request ran; this is its answer.
    Answered(A),
    /// The request ran; its answer is no longer kept.
    Dropped,
    /// Another process minted the ticket and listens here.
    Elsewhere(SocketAddr),
    /// This process minted it in an earlier run, which is gone.
    HomeLost,
    /// This process never minted the ticket.
    Forged,
    /// The ticket is expired; what became of its request is no longer known.
    Expired,
    /// The ticket was used for another request.
    OtherRequest,
    /// No more tickets can be remembered now.
    Full,
}

/// The tickets of one run of one process.
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
    used: Vec<Used<A>>,
}

impl<A: Clone> TicketRegistry<A> {
    /// Opens an empty book.
    ///
    /// `key` must be drawn at random for each run; it keeps callers from making
    /// tickets up. `capacity` bounds the used tickets that are remembered, and
    /// `answers_max` the answers among them.
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

    /// Returns for how long a new ticket is valid.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns the used tickets that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Tells whether no used ticket is remembered.
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
        self.forget_expired(now);
        if self.used.len() >= self.capacity {
            return Claim::Full;
        }
        let used = Used { number: ticket.number, fingerprint, expires, progress: Progress::Running };
        let at = self.find(ticket.number).unwrap_or_else(|at| at);
        self.used.insert(at, used);
        Claim::Run
    }

    /// Keeps the answer of a request that was run.
    pub fn record_answer(&mut self, ticket: &Ticket, answer: A) {
        let Ok(at) = self.find(ticket.number) else { return };
        if self.answers >= self.answers_max {
            self.drop_oldest_answer();
        }
        self.answers += 1;
        self.used[at].progress = Progress::Answered(answer);
    }

    fn claim_used(&self, at: usize, fingerprint: Fingerprint) -> Claim<A> {
        let used = &self.used[at];
        if used.fingerprint != fingerprint {
            return Claim::OtherRequest;
        }
        match &used.progress {
            Progress::Running => Claim::Join,
            Progress::Answered(answer) => Claim::Answered(answer.clone()),
            Progress::Dropped => Claim::Dropped,
        }
    }

    fn find(&self, number: u64) -> Result<usize, usize> {
        self.used.binary_search_by_key(&number, |used| used.number)
    }

    /// A ticket is forgotten only when it is expired, because an expired one is refused anyway.
    fn forget_expired(&mut self, now: Instant) {
        let keep = |used: &Used<A>| now < used.expires || matches!(used.progress, Progress::Running);
        self.used.retain(keep);
        self.answers = self.used.iter().filter(|used| matches!(used.progress, Progress::Answered(_))).count();
    }

    fn drop_oldest_answer(&mut self) {
        let oldest = self.used.iter_mut().find(|used| matches!(used.progress, Progress::Answered(_)));
        if let Some(used) = oldest {
            used.progress = Progress::Dropped;
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
