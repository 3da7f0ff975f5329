//! The inputs of a dispatcher and its decisions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, MissCause};

/// Identifies a piece of work in its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// A sub-request that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Its identifier, unique in the dispatcher.
    pub id: WorkId,
    /// The rank of its class; rank 1 is served first.
    pub rank: u8,
    /// The deadline; an answer after it is of no use.
    pub deadline: Instant,
    /// The replicas that can run it, sorted.
    pub replicas: Vec<SocketAddr>,
    /// Whether the request is suspected of crashing targets: a connection broke while it ran.
    pub suspect: bool,
    /// The fingerprint of a request that no target has answered yet; it runs on one replica at a time.
    pub unproven: Option<Fingerprint>,
}

/// The refusal of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why it is refused.
    pub cause: MissCause,
    /// The time after which a retry makes sense.
    pub retry_after: Duration,
}

/// Whether offered work is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it now to this replica; its slot is taken.
    Start(SocketAddr),
    /// It waits for a slot; a later [`Decision`] ends the wait.
    Queued,
    /// It is refused and not run.
    Refused(Refused),
}

/// The admission of offered work, with its effect on the work that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferOutcome {
    /// Whether the offered work is admitted.
    pub admission: Admission,
    /// Refusals of waiting work that can no longer end in time.
    pub decisions: Vec<Decision>,
}

/// A decision that ends the wait of queued work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the work now to this replica; its slot is taken.
    Start(WorkId, SocketAddr),
    /// The work is refused and not run.
    Refuse(WorkId, Refused),
}

/// How an attempt ended, which frees its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered after this time.
    Answered(Duration),
    /// The target failed, timed out or sent an invalid reply.
    Failed,
    /// The target refused it because it was busy.
    Shed,
    /// The target answered that it did not run it, for another reason than load.
    NotRun,
    /// The connection could not be opened or broke.
    ConnectionLost,
    /// The attempt was cancelled, and its outcome is unknown.
    Cancelled,
    /// The target stopped the attempt on request, after this time.
    Stopped(Duration),
}
