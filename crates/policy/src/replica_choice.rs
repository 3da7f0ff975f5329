//! Replica choice, hedging and the ejection of slow replicas.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::Fingerprint;

use crate::{
    Baseline, Decision, Dispatcher, baseline::FIXED_HEDGE_DELAY, dispatcher::UnprovenRun, replica::Replica,
};

/// The latency quantile that the hedge delay is derived from.
const HEDGE_QUANTILE: f64 = 0.95;
/// The hedge delay, as a multiple of the quantile.
const HEDGE_DELAY_FACTOR: f64 = 1.5;
/// Samples that a replica needs before its quantile counts.
const HEDGE_SAMPLES_MIN: usize = 32;
/// Samples that a replica needs before its mean is compared with those of others.
const SLOW_SAMPLES_MIN: usize = 16;
/// A replica is ejected when its mean latency exceeds the median of the others by this factor.
const SLOW_EJECT_FACTOR: u32 = 4;

impl Dispatcher {
    /// Returns how long an attempt runs before it is hedged; `None` where hedges are off or the latency
    /// is not known yet.
    ///
    /// Hedging at the quantile itself would hedge one ordinary attempt in twenty, which leaves no budget
    /// for the slow ones.
    #[must_use]
    pub fn hedge_delay(&self) -> Option<Duration> {
        if self.limits.baseline == Baseline::FixedHedge {
            return Some(FIXED_HEDGE_DELAY);
        }
        if self.limits.hedge_percent <= 0.0 {
            return None;
        }
        self.straggler_after()
    }

    /// Returns the time after which an attempt counts as a straggler: a healthy replica would have ended it.
    pub(crate) fn straggler_after(&self) -> Option<Duration> {
        // The least quantile of any replica: one over all replicas would grow with the share of a slow one.
        let known = |replica: &&Replica| replica.latency.len() >= HEDGE_SAMPLES_MIN;
        self.replicas
            .iter()
            .filter(known)
            .filter_map(|replica| replica.latency.quantile(HEDGE_QUANTILE))
            .min()
            .map(|quantile| quantile.mul_f64(HEDGE_DELAY_FACTOR))
    }

    /// Takes a slot and a token for a hedge on a replica that is not in `tried`.
    ///
    /// A hedge never takes a slot that queued work could use.
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
        let untried = without(replicas, tried);
        let address = self.choose(now, &untried, None)?;
        if self.limits.baseline != Baseline::FixedHedge && !self.hedges.spend() {
            return None;
        }
        self.start(address, unproven);
        Some(address)
    }

    /// Chooses the replica with a free slot and the least expected latency.
    ///
    /// Replicas that are ejected or that shed work are used only where every live one is. While an
    /// unproven request runs, its other parts go to the same replica only, so that it crashes one replica
    /// at most.
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
        let preferred: Vec<_> = live.iter().filter(|replica| !replica.is_avoided(now)).collect();
        let pool: Vec<_> = if preferred.is_empty() { live.iter().collect() } else { preferred };
        let service_mean = self.latency.mean();
        let best =
            pool.iter().map(|replica| replica.expected_latency(now, service_mean)).min().unwrap_or_default();
        let free =
            pool.iter().filter(|replica| running.is_empty() || running.contains(&replica.address)).filter(
                |replica| replica.has_free_slot(self.limits.slots) && self.beats_waiting(now, replica, best),
            );
        let best = if self.limits.baseline == Baseline::Random {
            free.min_by_key(|_| fastrand::u32(..))
        } else {
            free.min_by_key(|replica| (replica.cost(now, service_mean), replica.starts))
        };
        best.map(|replica| replica.address)
    }

    /// Tells whether work ends earlier on this free replica than after a wait for the fastest one, which
    /// has the expected latency `best`.
    fn beats_waiting(&self, now: Instant, replica: &Replica, best: Duration) -> bool {
        if self.limits.baseline == Baseline::Random {
            return true;
        }
        let slots = u32::from(self.limits.slots.max(1));
        let wait = best * (self.queue.len() as u32 + 1) / slots;
        replica.expected_latency(now, self.latency.mean()) <= best + wait.max(best)
    }

    /// Takes a slot of a replica for an attempt.
    pub(crate) fn start(&mut self, address: SocketAddr, unproven: Option<Fingerprint>) {
        self.unproven.extend(unproven.map(|fingerprint| UnprovenRun { fingerprint, address }));
        if let Ok(at) = self.find(address) {
            self.replicas[at].in_flight += 1;
            self.replicas[at].starts += 1;
        }
    }

    /// Starts the first queued work that has a replica with a free slot.
    pub(crate) fn start_next(&mut self, now: Instant) -> Option<Decision> {
        let mut queue = std::mem::take(&mut self.queue);
        let next = queue.take(|work| self.choose(now, &work.replicas, work.unproven).is_some());
        self.queue = queue;
        let work = next?;
        let address = self.choose(now, &work.replicas, work.unproven)?;
        self.start(address, work.unproven);
        Some(Decision::Start(work.id, address))
    }

    /// Ejects a replica whose mean latency is far above the median of the service's other replicas.
    ///
    /// One that was ejected before is judged by its first answer.
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
        if replica.latency.mean() <= *median * SLOW_EJECT_FACTOR {
            self.replicas[at].clear_ejections();
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
