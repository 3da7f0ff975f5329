//! Slots, queue and replica choice of one service.
//!
//! The relay that owns a service's connections sees all work for its replicas, so
//! it can keep the queue itself: a target never holds more requests than it has
//! slots, and work that would wait beyond its deadline is refused at once.

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
    /// Requests that each replica runs concurrently.
    pub slots: u16,
    /// The most work that may wait for a slot.
    pub queue: usize,
    /// Hedges as a percentage of sub-requests.
    pub hedge_percent: f64,
    /// Retries as a percentage of sub-requests.
    pub retry_percent: f64,
    /// A simpler design that benches run for comparison.
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
    pub(crate) unproven: Vec<UnprovenRun>,
    /// Replicas ejected since the last [`Self::take_ejected`].
    pub(crate) ejected: Vec<SocketAddr>,
}

/// A running attempt of a request that no target has answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnprovenRun {
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

    /// Replaces the limits; work in flight keeps its slots.
    pub fn set_limits(&mut self, limits: Limits) {
        if limits.hedge_percent != self.limits.hedge_percent {
            self.hedges = TokenBucket::new(limits.hedge_percent);
        }
        if limits.retry_percent != self.limits.retry_percent {
            self.retries = TokenBucket::new(limits.retry_percent);
        }
        self.limits = limits;
    }

    /// Replaces the declared replicas; a removed one finishes its work and gets no more.
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

    /// Records whether the host list declares the replica's host as leaving.
    pub fn set_host_leaving(&mut self, address: SocketAddr, leaving: bool) {
        if let Ok(at) = self.find(address) {
            self.replicas[at].host_leaving = leaving;
        }
    }

    /// Records a target's health report.
    pub fn report(&mut self, now: Instant, address: SocketAddr, report: HealthReport) -> Vec<Decision> {
        if let Ok(at) = self.find(address) {
            self.replicas[at].was_probed = true;
            self.replicas[at].record_report(now, report);
        }
        self.poll(now)
    }

    /// Records whether a reply to a request sent at `sent_at` says that the target drains.
    ///
    /// Returns true where it does and the target was not known to drain before.
    pub fn record_reply(
        &mut self,
        now: Instant,
        sent_at: Instant,
        address: SocketAddr,
        draining: bool,
    ) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].record_reply(now, sent_at, draining))
    }

    /// Lists the targets that drain, as they or another relay reported it.
    #[must_use]
    pub fn drain_signals(&self, now: Instant) -> Vec<DrainSignal> {
        self.replicas.iter().filter_map(|replica| replica.drain_signal(now)).collect()
    }

    /// Applies another relay's signal that a target drains; returns whether that was not known before.
    pub fn apply_drain_signal(&mut self, now: Instant, signal: DrainSignal) -> bool {
        self.find(signal.address).is_ok_and(|at| self.replicas[at].apply_drain_signal(now, signal))
    }

    /// Records a target's answer that it does not hold a snapshot.
    pub fn record_missing_snapshot(&mut self, address: SocketAddr, held: SnapshotPlacement) {
        if let Ok(at) = self.find(address) {
            self.replicas[at].record_missing(held);
        }
    }

    /// Records a failed probe: a target without a recent sign of life takes no work until it answers.
    pub fn probe_failed(&mut self, now: Instant, address: SocketAddr) -> Vec<Decision> {
        if let Ok(at) = self.find(address) {
            self.replicas[at].was_probed = true;
            if !self.replicas[at].is_alive_within(now, crate::LIVENESS_TTL) {
                self.replicas[at].mark_unknown();
            }
        }
        self.poll(now)
    }

    /// Lists the replicas that are due for a probe, and records the probes as sent.
    ///
    /// Replies show that a target works, but only its health announces that it will
    /// drain, so a busy replica is probed as well. One that takes no work is probed
    /// four times as often, so that its return is noticed soon.
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

    /// Tells whether every replica was probed at least once.
    ///
    /// Before that, a relay cannot tell a lost replica from one whose health it has not read yet.
    #[must_use]
    pub fn is_fully_probed(&self) -> bool {
        self.replicas.iter().all(|replica| replica.was_probed || replica.removed)
    }

    /// Tells whether a target has reported its health since its connection was last lost.
    #[must_use]
    pub fn has_reported(&self, address: SocketAddr) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].report.phase != crate::ReplicaPhase::Unknown)
    }

    /// Tells whether a replica holds a snapshot with a placement.
    #[must_use]
    pub fn holds(&self, address: SocketAddr, held: SnapshotPlacement) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].holds(held))
    }

    /// Counts the shards of one snapshot and placement that a live replica holds.
    ///
    /// `shards` lists each shard's replicas.
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

    /// Admits work: it starts, waits for a slot or is refused.
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

    /// Removes work from the queue, as its answer is no longer wanted; returns whether it still waited.
    pub fn withdraw(&mut self, id: WorkId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Lifts the limit of one replica at a time from a request that a target has answered.
    pub fn mark_proven(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Decision> {
        self.unproven.retain(|run| run.fingerprint != fingerprint);
        self.queue.mark_proven(fingerprint);
        self.poll(now)
    }

    /// Frees an attempt's slot, and updates the replica's health and latency with how it ended.
    pub fn finish(
        &mut self,
        now: Instant,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
        completion: Completion,
    ) -> Vec<Decision> {
        let ended = |run: &UnprovenRun| Some(run.fingerprint) == unproven && run.address == address;
        if let Some(at) = self.unproven.iter().position(ended) {
            self.unproven.swap_remove(at);
        }
        if let Completion::Answered(latency) = completion {
            self.latency.add(latency);
        }
        let completion = match completion {
            // It was stopped after a healthy replica would have answered.
            Completion::Stopped(ran_for) if self.straggler_after().is_some_and(|limit| ran_for >= limit) => {
                Completion::Failed
            }
            other => other,
        };
        if let Ok(at) = self.find(address) {
            if self.replicas[at].record_completion(now, completion, self.limits.slots) {
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

    /// Refuses queued work that cannot end in time, and starts what now has a free slot.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.refuse_late(now, &mut decisions);
        while let Some(decision) = self.start_next(now) {
            decisions.push(decision);
        }
        decisions
    }

    /// Returns the replicas that were ejected since the last call.
    pub fn take_ejected(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.ejected)
    }

    /// Takes a token for a retry, if the budget has one.
    pub fn try_retry(&mut self) -> bool {
        self.retries.spend()
    }

    /// Returns the number of slots in use and of work that waits.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.replicas.iter().map(|replica| usize::from(replica.in_flight)).sum(), self.queue.len())
    }

    /// Returns the number of requests in flight at one replica.
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
