//! What a dispatcher is asked and what it decides.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, MissCause};

/// Names one piece of work inside its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// One sub-request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Its name, unique in the dispatcher.
    pub id: WorkId,
    /// The rank of its class; 1 goes first.
    pub rank: u8,
    /// When its answer is no longer wanted.
    pub deadline: Instant,
    /// The replicas that can run it, sorted.
    pub replicas: Vec<SocketAddr>,
    /// Whether the request broke a connection before.
    pub suspect: bool,
    /// Set where the request never ended well, so that it runs on one replica at a time.
    pub unproven: Option<Fingerprint>,
}

/// Why work is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The cause.
    pub cause: MissCause,
    /// After how long asking again makes sense.
    pub retry_after: Duration,
}

/// The answer to offered work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it now; its slot is taken.
    Start(SocketAddr),
    /// It waits; a later [`Decision`] ends the wait.
    Queued,
    /// It is not run.
    Refused(Refused),
}

/// The answer to offered work, and what it means for the work that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferOutcome {
    /// The answer.
    pub admission: Admission,
    /// Waiting work that can no longer be in time.
    pub decisions: Vec<Decision>,
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the work now; its slot is taken.
    Start(WorkId, SocketAddr),
    /// The work is not run.
    Refuse(WorkId, Refused),
}

/// How an attempt ended; its slot is free again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered after this time.
    Answered(Duration),
    /// The target failed or answered nonsense.
    Failed,
    /// The target refused it as busy.
    Shed,
    /// The target said for another reason that it did not run it.
    NotRun,
    /// The connection could not be opened or broke.
    ConnectionLost,
    /// The attempt was cancelled, and nothing is known of how it went.
    Cancelled,
    /// The target stopped the attempt as it was told, after this time.
    Stopped(Duration),
}
