//! Slots, queue and replica choice of one service.
//!
//! The relay that owns a service's connections sees all work for its replicas,
//! so it can keep the queue itself: a target never holds more than its slots,
//! and a wait that cannot end in time is refused when it begins.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, SnapshotShards};

use crate::{
    Admission, Baseline, Completion, Decision, DrainSignal, HealthReport, LatencyWindow, OfferOutcome,
    SnapshotPlacement, TokenBucket, Work, WorkId, queue::WorkQueue, replica::Replica,
};

/// The limits of one service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that each replica runs at a time.
    pub slots: u16,
    /// Work that may wait.
    pub queue: usize,
    /// Hedges as a percentage of sub-requests.
    pub hedge_percent: f64,
    /// Retries as a percentage of sub-requests.
    pub retry_percent: f64,
    /// A simple design to compare with; benches only.
    pub baseline: Baseline,
}

impl Default for Limits {
    fn default() -> Self {
        Self { slots: 2, queue: 1024, hedge_percent: 2.0, retry_percent: 10.0, baseline: Baseline::None }
    }
}

/// Decides which work of one service goes to which replica, and when.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) limits: Limits,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) queue: WorkQueue,
    pub(crate) latency: LatencyWindow,
    pub(crate) hedges: TokenBucket,
    retries: TokenBucket,
    pub(crate) unproven: Vec<Unproven>,
    pub(crate) ejected: Vec<SocketAddr>,
}

/// A request that never ended well and runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unproven {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) address: SocketAddr,
}

impl Dispatcher {
    /// Creates a dispatcher without replicas.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            replicas: Vec::new(),
            queue: WorkQueue::default(),
            latency: LatencyWindow::default(),
            hedges: TokenBucket::new(limits.hedge_percent),
            retries: TokenBucket::new(limits.retry_percent),
            unproven: Vec::new(),
            ejected: Vec::new(),
        }
    }

    /// Takes new limits; work in flight keeps its slots.
    pub fn set_limits(&mut self, limits: Limits) {
        if limits.hedge_percent != self.limits.hedge_percent {
            self.hedges = TokenBucket::new(limits.hedge_percent);
        }
        if limits.retry_percent != self.limits.retry_percent {
            self.retries = TokenBucket::new(limits.retry_percent);
        }
        self.limits = limits;
    }

    /// Takes the declared replicas; a removed one finishes its work and gets no more.
    pub fn set_replicas(&mut self, now: Instant, addresses: &[SocketAddr]) -> Vec<Decision> {
        for &address in addresses {
            match self.find(address) {
                Ok(at) => self.replicas[at].removed = false,
                Err(at) => self.replicas.insert(at, Replica::new(address)),
            }
        }
        for replica in &mut self.replicas {
            replica.removed = !addresses.contains(&replica.address);
        }
        self.replicas.retain(|replica| !replica.removed || replica.in_flight > 0);
        self.poll(now)
    }

    /// Takes the host list's word on a replica's host.
    pub fn set_host_leaving(&mut self, address: SocketAddr, leaving: bool) {
        if let Ok(at) = self.find(address) {
            self.replicas[at].host_leaving = leaving;
        }
    }

    /// Takes a target's report of itself.
    pub fn report(&mut self, now: Instant, address: SocketAddr, report: HealthReport) -> Vec<Decision> {
        if let Ok(at) = self.find(address) {
            self.replicas[at].asked = true;
            self.replicas[at].take_report(now, report);
        }
        self.poll(now)
    }

    /// Takes what a reply, requested at `asked_at`, says about the target.
    ///
    /// Returns whether it is the first sign that the target leaves.
    pub fn record_reply(
        &mut self,
        now: Instant,
        asked_at: Instant,
        address: SocketAddr,
        draining: bool,
    ) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].take_reply(now, asked_at, draining))
    }

    /// Lists the targets that are known to leave, by their own or another relay's word.
    #[must_use]
    pub fn drain_signals(&self, now: Instant) -> Vec<DrainSignal> {
        self.replicas.iter().filter_map(|replica| replica.drain_signal(now)).collect()
    }

    /// Takes another relay's word that a target leaves; returns whether it is news.
    pub fn apply_drain_signal(&mut self, now: Instant, sign: DrainSignal) -> bool {
        self.find(sign.address).is_ok_and(|at| self.replicas[at].apply_drain_signal(now, sign))
    }

    /// Takes a target's word that it does not hold a snapshot.
    pub fn record_missing_snapshot(&mut self, address: SocketAddr, held: SnapshotPlacement) {
        if let Ok(at) = self.find(address) {
            self.replicas[at].take_lack(held);
        }
    }

    /// Takes the failure of a probe: the target takes no work until it answers.
    pub fn probe_failed(&mut self, now: Instant, address: SocketAddr) -> Vec<Decision> {
        if let Ok(at) = self.find(address) {
            self.replicas[at].asked = true;
            if !self.replicas[at].is_confirmed(now, crate::LIVENESS_TTL) {
                self.replicas[at].lose();
            }
        }
        self.poll(now)
    }

    /// Lists the replicas to probe now, and notes that they are.
    ///
    /// Replies confirm that a target works, but only its health says that it will
    /// leave, so a busy replica is probed as well. One that takes no work is probed
    /// four times as often, to find its return.
    pub fn begin_probes(&mut self, now: Instant, interval: Duration) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for replica in self.replicas.iter_mut().filter(|replica| !replica.removed) {
            let interval = if replica.is_live(now) { interval } else { interval / 4 };
            if replica.probed_at.is_none_or(|at| now.saturating_duration_since(at) >= interval) {
                replica.probed_at = Some(now);
                due.push(replica.address);
            }
        }
        due
    }

    /// Tells whether a replica takes new work.
    #[must_use]
    pub fn is_live(&self, now: Instant, address: SocketAddr) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].is_live(now))
    }

    /// Tells whether every replica was asked for its health at least once.
    ///
    /// Before that, a relay cannot tell a lost replica from one that it does not know yet.
    #[must_use]
    pub fn is_fully_probed(&self) -> bool {
        self.replicas.iter().all(|replica| replica.asked || replica.removed)
    }

    /// Tells whether a target ever reported and was not lost since.
    #[must_use]
    pub fn has_reported(&self, address: SocketAddr) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].report.phase != crate::ReplicaPhase::Unknown)
    }

    /// Tells whether a replica holds a snapshot with a placement.
    #[must_use]
    pub fn holds(&self, address: SocketAddr, held: SnapshotPlacement) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].holds(held))
    }

    /// Counts, for each snapshot, the shards that a live replica holds.
    ///
    /// `shards` lists each shard's replicas for one snapshot and placement.
    pub fn count_held_shards<'a>(
        &self,
        now: Instant,
        held: SnapshotPlacement,
        shards: impl Iterator<Item = &'a [SocketAddr]>,
    ) -> SnapshotShards {
        let served =
            |replicas: &&[SocketAddr]| replicas.iter().any(|&r| self.is_live(now, r) && self.holds(r, held));
        SnapshotShards { snapshot: held.snapshot, shards: shards.filter(served).count() as u32 }
    }

    /// Offers work: it starts, waits or is refused.
    pub fn offer(&mut self, now: Instant, mut work: Work) -> OfferOutcome {
        if self.limits.baseline == Baseline::Arrival {
            work.rank = 1;
        }
        if let Some(refused) = self.refusal(now, &work) {
            return OfferOutcome { admission: Admission::Refused(refused), decisions: Vec::new() };
        }
        self.hedges.earn();
        self.retries.earn();
        if let Some(address) = self.choose(now, &work.replicas, work.unproven) {
            self.start(address, work.unproven);
            return OfferOutcome { admission: Admission::Start(address), decisions: Vec::new() };
        }
        self.enqueue(now, work)
    }

    /// Withdraws waiting work whose answer is no longer wanted.
    pub fn withdraw(&mut self, id: WorkId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Lets a request run on several replicas at a time, because a target has answered it.
    pub fn mark_proven(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Decision> {
        self.unproven.retain(|run| run.fingerprint != fingerprint);
        self.queue.mark_proven(fingerprint);
        self.poll(now)
    }

    /// Frees a slot and learns from how the attempt ended.
    pub fn finish(
        &mut self,
        now: Instant,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
        finish: Completion,
    ) -> Vec<Decision> {
        let ended = |run: &Unproven| Some(run.fingerprint) == unproven && run.address == address;
        if let Some(at) = self.unproven.iter().position(ended) {
            self.unproven.swap_remove(at);
        }
        if let Completion::Answered(latency) = finish {
            self.latency.add(latency);
        }
        let finish = match finish {
            // Whoever stopped it had waited longer than a sound replica takes.
            Completion::Stopped(ran_for) if self.late_after().is_some_and(|late| ran_for >= late) => {
                Completion::Failed
            }
            other => other,
        };
        if let Ok(at) = self.find(address) {
            if self.replicas[at].take_finish(now, finish, self.limits.slots) {
                self.ejected.push(address);
            }
            self.eject_slow(now, at);
            let replica = &self.replicas[at];
            if replica.removed && replica.in_flight == 0 {
                self.replicas.remove(at);
            }
        }
        self.poll(now)
    }

    /// Starts and refuses waiting work as the time and the replicas allow.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.refuse_hopeless(now, &mut decisions);
        while let Some(decision) = self.start_next(now) {
            decisions.push(decision);
        }
        decisions
    }

    /// Returns the replicas that were ejected since the last call.
    pub fn take_ejected(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.ejected)
    }

    /// Takes one retry out of the budget.
    pub fn try_retry(&mut self) -> bool {
        self.retries.spend()
    }

    /// Returns the slots in use and the work that waits.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.replicas.iter().map(|replica| usize::from(replica.in_flight)).sum(), self.queue.len())
    }

    /// Returns the requests in flight at one replica.
    #[must_use]
    pub fn in_flight(&self, address: SocketAddr) -> u16 {
        self.find(address).map_or(0, |at| self.replicas[at].in_flight)
    }

    pub(crate) fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.replicas.binary_search_by_key(&address, |replica| replica.address)
    }

    pub(crate) fn live_among(&self, now: Instant, replicas: &[SocketAddr]) -> Vec<&Replica> {
        let find = |&address: &SocketAddr| self.find(address).ok().map(|at| &self.replicas[at]);
        replicas.iter().filter_map(find).filter(|replica| replica.is_live(now)).collect()
    }
}
