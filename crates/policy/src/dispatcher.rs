//! Slots, queue and replica choice of one service.
//!
//! The relay that owns a service's connections sees all work for its replicas,
//! so it can keep the queue itself: a target never holds more than its slots,
//! and a wait that cannot end in time is refused when it begins.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, MissCause, SnapshotShards};

use crate::{
    Baseline, Decision, Finish, Held, LatencyWindow, Offer, Offered, Refused, Report, TokenBucket, Work,
    WorkId, baseline::FIXED_HEDGE_DELAY, queue::WorkQueue, replica::Replica,
};

const HEDGE_QUANTILE: f64 = 0.95;
const HEDGE_SAMPLES_MIN: usize = 32;
const SLOW_SAMPLES_MIN: usize = 16;
/// The share of its budget that work may expect to wait, so that few waits end in vain.
const WAIT_SHARE_MAX: f64 = 0.5;
const SLOW_FACTOR: u32 = 4;
const PROBE_RETRY_AFTER: Duration = Duration::from_millis(500);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(10);

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
    limits: Limits,
    replicas: Vec<Replica>,
    queue: WorkQueue,
    latency: LatencyWindow,
    hedges: TokenBucket,
    retries: TokenBucket,
    unproven: Vec<Unproven>,
    ejected: Vec<SocketAddr>,
}

/// A request that never ended well and runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unproven {
    fingerprint: Fingerprint,
    address: SocketAddr,
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
    pub fn report(&mut self, now: Instant, address: SocketAddr, report: Report) -> Vec<Decision> {
        if let Ok(at) = self.find(address) {
            self.replicas[at].asked = true;
            self.replicas[at].take_report(now, report);
        }
        self.poll(now)
    }

    /// Takes what a reply, requested at `asked_at`, says about the target.
    pub fn reply_says(&mut self, now: Instant, asked_at: Instant, address: SocketAddr, draining: bool) {
        if let Ok(at) = self.find(address) {
            self.replicas[at].take_reply(now, asked_at, draining);
        }
    }

    /// Takes a target's word that it does not hold a snapshot.
    pub fn not_held(&mut self, address: SocketAddr, held: Held) {
        if let Ok(at) = self.find(address) {
            self.replicas[at].take_lack(held);
        }
    }

    /// Takes the failure of a probe: the target takes no work until it answers.
    pub fn probe_failed(&mut self, now: Instant, address: SocketAddr) -> Vec<Decision> {
        if let Ok(at) = self.find(address) {
            self.replicas[at].asked = true;
            if !self.replicas[at].is_confirmed(now, crate::CONFIRMED_FOR) {
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
    pub fn is_warm(&self) -> bool {
        self.replicas.iter().all(|replica| replica.asked || replica.removed)
    }

    /// Tells whether a target ever reported and was not lost since.
    #[must_use]
    pub fn is_known(&self, address: SocketAddr) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].report.phase != crate::Phase::Unknown)
    }

    /// Tells whether a replica holds a snapshot with a placement.
    #[must_use]
    pub fn holds(&self, address: SocketAddr, held: Held) -> bool {
        self.find(address).is_ok_and(|at| self.replicas[at].holds(held))
    }

    /// Counts, for each snapshot, the shards that a live replica holds.
    ///
    /// `shards` lists each shard's replicas for one snapshot and placement.
    pub fn held_shards<'a>(
        &self,
        now: Instant,
        held: Held,
        shards: impl Iterator<Item = &'a [SocketAddr]>,
    ) -> SnapshotShards {
        let served =
            |replicas: &&[SocketAddr]| replicas.iter().any(|&r| self.is_live(now, r) && self.holds(r, held));
        SnapshotShards { snapshot: held.snapshot, shards: shards.filter(served).count() as u32 }
    }

    /// Offers work: it starts, waits or is refused.
    pub fn offer(&mut self, now: Instant, mut work: Work) -> Offered {
        if self.limits.baseline == Baseline::Arrival {
            work.rank = 1;
        }
        if let Some(refused) = self.refusal(now, &work) {
            return Offered { offer: Offer::Refused(refused), decisions: Vec::new() };
        }
        self.hedges.earn();
        self.retries.earn();
        if let Some(address) = self.choose(now, &work.replicas, work.unproven) {
            self.start(address, work.unproven);
            return Offered { offer: Offer::Start(address), decisions: Vec::new() };
        }
        self.enqueue(now, work)
    }

    /// Tells, without taking anything, whether work would be refused now.
    #[must_use]
    pub fn would_refuse(&self, now: Instant, work: &Work) -> Option<Refused> {
        let waits = || self.choose(now, &work.replicas, work.unproven).is_none();
        let admission = || self.admission(now, self.queue.position(work), work.deadline);
        self.refusal(now, work).or_else(|| if waits() { admission() } else { None })
    }

    /// Withdraws waiting work whose answer is no longer wanted.
    pub fn withdraw(&mut self, id: WorkId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Frees a slot and learns from how the attempt ended.
    pub fn finish(
        &mut self,
        now: Instant,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
        finish: Finish,
    ) -> Vec<Decision> {
        let ended = |run: &Unproven| Some(run.fingerprint) == unproven && run.address == address;
        if let Some(at) = self.unproven.iter().position(ended) {
            self.unproven.swap_remove(at);
        }
        if let Finish::Answered(latency) = finish {
            self.latency.add(latency);
        }
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

    /// Returns how long an attempt may run before a hedge makes sense.
    #[must_use]
    pub fn hedge_delay(&self) -> Option<Duration> {
        if self.limits.baseline == Baseline::FixedHedge {
            return Some(FIXED_HEDGE_DELAY);
        }
        if self.limits.hedge_percent <= 0.0 {
            return None;
        }
        // The quantile over all replicas would grow with the share of a slow one.
        let known = |replica: &&Replica| replica.latency.len() >= HEDGE_SAMPLES_MIN;
        self.replicas
            .iter()
            .filter(known)
            .filter_map(|replica| replica.latency.quantile(HEDGE_QUANTILE))
            .min()
    }

    /// Takes a slot for a hedge on a replica other than those `tried`.
    ///
    /// A hedge never takes a slot that waiting work could use.
    pub fn hedge(
        &mut self,
        now: Instant,
        replicas: &[SocketAddr],
        tried: &[SocketAddr],
        unproven: Option<Fingerprint>,
    ) -> Option<SocketAddr> {
        if !self.queue.is_empty() {
            return None;
        }
        let others = without(replicas, tried);
        let address = self.choose(now, &others, None)?;
        if self.limits.baseline != Baseline::FixedHedge && !self.hedges.spend() {
            return None;
        }
        self.start(address, unproven);
        Some(address)
    }

    /// Returns the replicas that were ejected since the last call.
    pub fn take_ejected(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.ejected)
    }

    /// Takes one retry out of the budget.
    pub fn may_retry(&mut self) -> bool {
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

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.replicas.binary_search_by_key(&address, |replica| replica.address)
    }

    fn live_among(&self, now: Instant, replicas: &[SocketAddr]) -> Vec<&Replica> {
        let find = |&address: &SocketAddr| self.find(address).ok().map(|at| &self.replicas[at]);
        replicas.iter().filter_map(find).filter(|replica| replica.is_live(now)).collect()
    }

    fn refusal(&self, now: Instant, work: &Work) -> Option<Refused> {
        if work.deadline <= now {
            return Some(Refused { cause: MissCause::Deadline, retry_after: RETRY_AFTER_MIN });
        }
        match self.live_among(now, &work.replicas).len() {
            0 => Some(Refused { cause: MissCause::NoLiveReplica, retry_after: PROBE_RETRY_AFTER }),
            // A suspect must not take down the last replica.
            1 if work.suspect => Some(Refused { cause: MissCause::Suspect, retry_after: crate::MARK_LASTS }),
            _ => None,
        }
    }

    /// Chooses a free replica with the least expected latency.
    ///
    /// Ejected replicas serve only where no other live one can. An unproven request
    /// stays with the replica that runs its like, so that it breaks one at most.
    fn choose(
        &self,
        now: Instant,
        replicas: &[SocketAddr],
        unproven: Option<Fingerprint>,
    ) -> Option<SocketAddr> {
        let running: Vec<SocketAddr> = self
            .unproven
            .iter()
            .filter(|run| Some(run.fingerprint) == unproven)
            .map(|run| run.address)
            .collect();
        let live = self.live_among(now, replicas);
        let fit: Vec<_> = live.iter().filter(|replica| !replica.is_ejected(now)).collect();
        let pool: Vec<_> = if fit.is_empty() { live.iter().collect() } else { fit };
        let usual = self.latency.mean();
        let best = pool.iter().map(|replica| replica.expected(now, usual)).min().unwrap_or_default();
        let free = pool
            .iter()
            .filter(|replica| running.is_empty() || running.contains(&replica.address))
            .filter(|replica| replica.has_free_slot(self.limits.slots) && self.is_worth(now, replica, best));
        let best = if self.limits.baseline == Baseline::Random {
            free.min_by_key(|_| fastrand::u32(..))
        } else {
            free.min_by_key(|replica| (replica.cost(now, usual), replica.starts))
        };
        best.map(|replica| replica.address)
    }

    /// Tells whether work ends earlier on a free slow replica than after a wait for a faster one.
    fn is_worth(&self, now: Instant, replica: &Replica, best: Duration) -> bool {
        if self.limits.baseline == Baseline::Random {
            return true;
        }
        let slots = u32::from(self.limits.slots.max(1));
        let wait = best * (self.queue.len() as u32 + 1) / slots;
        replica.expected(now, self.latency.mean()) <= best + wait.max(best)
    }

    fn start(&mut self, address: SocketAddr, unproven: Option<Fingerprint>) {
        self.unproven.extend(unproven.map(|fingerprint| Unproven { fingerprint, address }));
        if let Ok(at) = self.find(address) {
            self.replicas[at].in_flight += 1;
            self.replicas[at].starts += 1;
        }
    }

    fn live_slots(&self, now: Instant) -> u32 {
        let live =
            self.replicas.iter().filter(|replica| replica.is_live(now) && !replica.is_ejected(now)).count();
        live.max(1) as u32 * u32::from(self.limits.slots)
    }

    fn enqueue(&mut self, now: Instant, work: Work) -> Offered {
        let ahead = self.queue.position(&work);
        if let Some(refused) = self.admission(now, ahead, work.deadline) {
            return Offered { offer: Offer::Refused(refused), decisions: Vec::new() };
        }
        let id = work.id;
        self.queue.insert(work);
        let mut decisions = Vec::new();
        if self.queue.len() > self.limits.queue {
            let last = self.queue.pop_last().map(|work| Decision::Refuse(work.id, self.overloaded(now)));
            decisions.extend(last);
        }
        self.refuse_hopeless(now, &mut decisions);
        let own = decisions
            .iter()
            .position(|decision| matches!(decision, Decision::Refuse(other, _) if *other == id));
        match own.map(|at| decisions.remove(at)) {
            Some(Decision::Refuse(_, refused)) => Offered { offer: Offer::Refused(refused), decisions },
            _ => Offered { offer: Offer::Queued, decisions },
        }
    }

    /// Returns a refusal where new work would wait for too large a share of its budget.
    ///
    /// Stricter than [`Self::overload`]: work of better classes may still come, and
    /// a wait that ends in vain has kept its caller from coming back in time.
    fn admission(&self, now: Instant, ahead: usize, deadline: Instant) -> Option<Refused> {
        if self.limits.baseline == Baseline::Arrival {
            return None;
        }
        let budget = deadline.saturating_duration_since(now).saturating_sub(self.latency.mean());
        let late = self.expected_wait(now, ahead) > budget.mul_f64(WAIT_SHARE_MAX);
        late.then(|| self.overloaded(now))
    }

    /// Returns a refusal where work with so much ahead of it cannot end in time.
    fn overload(&self, now: Instant, ahead: usize, deadline: Instant) -> Option<Refused> {
        if self.limits.baseline == Baseline::Arrival {
            return None;
        }
        let wait = self.expected_wait(now, ahead);
        let late = now + wait + self.latency.mean() > deadline;
        late.then(|| self.overloaded(now))
    }

    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        self.latency.mean() * (ahead as u32 + 1) / self.live_slots(now)
    }

    fn overloaded(&self, now: Instant) -> Refused {
        let drained = self.expected_wait(now, self.queue.len()).max(RETRY_AFTER_MIN);
        Refused { cause: MissCause::Overload, retry_after: drained }
    }

    fn refuse_hopeless(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let mut queue = std::mem::take(&mut self.queue);
        let overloaded = self.overloaded(now);
        queue.retain(|position, work| {
            let hopeless = self.refusal(now, work).or_else(|| self.overload(now, position, work.deadline));
            if let Some(mut refused) = hopeless {
                if refused.cause == MissCause::Overload {
                    refused = overloaded;
                }
                decisions.push(Decision::Refuse(work.id, refused));
            }
            hopeless.is_none()
        });
        self.queue = queue;
    }

    fn start_next(&mut self, now: Instant) -> Option<Decision> {
        let mut queue = std::mem::take(&mut self.queue);
        let next = queue.take(|work| self.choose(now, &work.replicas, work.unproven).is_some());
        self.queue = queue;
        let work = next?;
        let address = self.choose(now, &work.replicas, work.unproven)?;
        self.start(address, work.unproven);
        Some(Decision::Start(work.id, address))
    }

    /// Ejects a replica that is far slower than the service's other replicas.
    fn eject_slow(&mut self, now: Instant, at: usize) {
        let replica = &self.replicas[at];
        let samples = if replica.was_ejected() { 1 } else { SLOW_SAMPLES_MIN };
        if self.limits.baseline == Baseline::Random
            || replica.latency.len() < samples
            || replica.is_ejected(now)
        {
            return;
        }
        let others = self.replicas.iter().filter(|other| {
            other.address != replica.address
                && other.is_live(now)
                && !other.is_ejected(now)
                && other.latency.len() >= SLOW_SAMPLES_MIN
        });
        let mut means: Vec<Duration> = others.map(|other| other.latency.mean()).collect();
        means.sort_unstable();
        let Some(median) = means.get(means.len() / 2) else { return };
        if replica.latency.mean() <= *median * SLOW_FACTOR {
            self.replicas[at].settle();
        } else {
            let address = self.replicas[at].address;
            self.replicas[at].eject(now);
            self.ejected.push(address);
        }
    }
}

fn without(replicas: &[SocketAddr], tried: &[SocketAddr]) -> Vec<SocketAddr> {
    replicas.iter().filter(|address| !tried.contains(address)).copied().collect()
}
