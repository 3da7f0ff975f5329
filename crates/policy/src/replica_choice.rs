//! Which replica runs a piece of work, and when a second copy may go out.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::Fingerprint;

use crate::{
    Baseline, Decision, Dispatcher, baseline::FIXED_HEDGE_DELAY, dispatcher::Unproven, replica::Replica,
};

const HEDGE_QUANTILE: f64 = 0.95;
/// How far beyond the quantile an attempt must be before a hedge goes out.
const HEDGE_FACTOR: f64 = 1.5;
const HEDGE_SAMPLES_MIN: usize = 32;
const SLOW_SAMPLES_MIN: usize = 16;
const SLOW_FACTOR: u32 = 4;

impl Dispatcher {
    /// Returns how long an attempt may run before a hedge makes sense.
    ///
    /// A hedge at the quantile itself would go out for each twentieth ordinary attempt,
    /// and leave no budget for the slow ones.
    #[must_use]
    pub fn hedge_delay(&self) -> Option<Duration> {
        if self.limits.baseline == Baseline::FixedHedge {
            return Some(FIXED_HEDGE_DELAY);
        }
        if self.limits.hedge_percent <= 0.0 {
            return None;
        }
        self.late_after()
    }

    /// Returns the time after which an attempt at a sound replica would have ended.
    pub(crate) fn late_after(&self) -> Option<Duration> {
        // The quantile over all replicas would grow with the share of a slow one.
        let known = |replica: &&Replica| replica.latency.len() >= HEDGE_SAMPLES_MIN;
        self.replicas
            .iter()
            .filter(known)
            .filter_map(|replica| replica.latency.quantile(HEDGE_QUANTILE))
            .min()
            .map(|usual| usual.mul_f64(HEDGE_FACTOR))
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

    /// Chooses a free replica with the least expected latency.
    ///
    /// Replicas that are ejected or shed work serve only where no other live one can. An unproven request
    /// stays with the replica that runs its like, so that it breaks one at most.
    pub(crate) fn choose(
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
        let fit: Vec<_> = live.iter().filter(|replica| !replica.is_avoided(now)).collect();
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

    pub(crate) fn start(&mut self, address: SocketAddr, unproven: Option<Fingerprint>) {
        self.unproven.extend(unproven.map(|fingerprint| Unproven { fingerprint, address }));
        if let Ok(at) = self.find(address) {
            self.replicas[at].in_flight += 1;
            self.replicas[at].starts += 1;
        }
    }

    pub(crate) fn start_next(&mut self, now: Instant) -> Option<Decision> {
        let mut queue = std::mem::take(&mut self.queue);
        let next = queue.take(|work| self.choose(now, &work.replicas, work.unproven).is_some());
        self.queue = queue;
        let work = next?;
        let address = self.choose(now, &work.replicas, work.unproven)?;
        self.start(address, work.unproven);
        Some(Decision::Start(work.id, address))
    }

    /// Ejects a replica that is far slower than the service's other replicas.
    pub(crate) fn eject_slow(&mut self, now: Instant, at: usize) {
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
