//! When a gather hedges, answers with the parts that it has, or fails.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

/// The coverage, the times and the attempts that a gather is held to.
#[derive(Clone, Copy, Debug)]
pub struct GatherLimits {
    /// The least number of shards that an answer must cover.
    pub min_shards: usize,
    /// The latency objective: from then on, an answer goes out as soon as it covers `min_shards`.
    pub objective_at: Instant,
    /// The deadline: a gather without an answer fails then.
    pub deadline: Instant,
    /// How long an attempt runs before it is hedged; `None` where hedges are off.
    pub hedge_delay: Option<Duration>,
    /// The most attempts that may be sent for one shard.
    pub attempts_max: usize,
}

/// The share of the shards that may be hedged within one hedge delay. If more are overdue at once, this
/// host, its connections or a whole data centre is slow, and hedges for all would double that load.
const HEDGE_WAVE_SHARE: f64 = 0.25;

/// The hedges that were sent within the present hedge delay.
#[derive(Clone, Copy, Debug)]
struct HedgeWave {
    began_at: Instant,
    hedges: usize,
}

/// What a gather does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherStep {
    /// Send a hedge to another replica of the shard, if the retry budget allows it.
    Hedge(usize),
    /// Answer with the parts that have arrived.
    Answer,
    /// Fail the request: no answer with enough parts can come in time.
    Fail,
    /// Wait for parts, at most until this time.
    Wait(Instant),
}

#[derive(Clone, Debug, Default)]
struct ShardState {
    /// When the latest attempt was sent.
    sent_at: Option<Instant>,
    attempts: usize,
    outstanding: usize,
    hedge_forbidden: bool,
    has_part: bool,
    abandoned: bool,
}

impl ShardState {
    fn is_open(&self) -> bool {
        !self.has_part && !self.abandoned
    }

    /// Tells whether the only outstanding attempt, which was sent at `sent_at`, may be hedged.
    fn may_hedge(&self, sent_at: Instant, attempts_max: usize) -> bool {
        self.is_open()
            && self.outstanding == 1
            && !self.hedge_forbidden
            && self.attempts < attempts_max
            && self.sent_at == Some(sent_at)
    }
}

/// The state of one gather: the parts that arrived, the attempts in flight and the next step.
///
/// Replicas pause, and where one replica in twenty does, more than half of all queries meet one. A
/// straggler is therefore hedged soon, and at the latency objective an answer over the least share of
/// shards goes out rather than a late one over all of them. See docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct GatherProgress {
    limits: GatherLimits,
    shards: Vec<ShardState>,
    /// Shards whose part has arrived.
    received: usize,
    /// Shards whose part may still arrive.
    open: usize,
    /// When the attempts that may be hedged were sent, the earliest first. Outdated entries are dropped
    /// only when they come first, so that no step looks at all shards.
    hedgeable: BinaryHeap<Reverse<(Instant, usize)>>,
    wave: Option<HedgeWave>,
}

impl GatherProgress {
    /// Starts a gather over this number of shards.
    #[must_use]
    pub fn new(shards: usize, limits: GatherLimits) -> Self {
        let states = vec![ShardState::default(); shards];
        Self { limits, shards: states, received: 0, open: shards, hedgeable: BinaryHeap::new(), wave: None }
    }

    /// Records an attempt sent to a replica of a shard.
    pub fn record_sent(&mut self, now: Instant, shard: usize) {
        if self.shards[shard].outstanding > 0 {
            self.record_hedge(now);
        }
        self.change(shard, |state| {
            state.sent_at = Some(now);
            state.attempts += 1;
            state.outstanding += 1;
        });
    }

    /// Forbids hedges for a shard, as the budget is spent or there is no other replica.
    pub fn forbid_hedge(&mut self, shard: usize) {
        self.shards[shard].hedge_forbidden = true;
    }

    /// Records the arrival of a part.
    pub fn record_part(&mut self, shard: usize) {
        self.change(shard, |state| {
            state.outstanding = state.outstanding.saturating_sub(1);
            state.has_part = true;
        });
    }

    /// Records the failure of an attempt; returns whether the shard may be retried.
    pub fn record_failure(&mut self, shard: usize) -> bool {
        self.change(shard, |state| state.outstanding = state.outstanding.saturating_sub(1));
        let state = &self.shards[shard];
        !state.has_part && state.outstanding == 0 && state.attempts < self.limits.attempts_max
    }

    /// Undoes [`Self::record_sent`] for an attempt of which nothing left this host.
    pub fn undo_sent(&mut self, shard: usize) {
        self.change(shard, |state| {
            state.outstanding = state.outstanding.saturating_sub(1);
            state.attempts = state.attempts.saturating_sub(1);
        });
    }

    /// Abandons a shard; while an attempt of it is in flight, only forbids hedges.
    pub fn abandon_shard(&mut self, shard: usize) {
        self.change(shard, |state| {
            if state.outstanding == 0 {
                state.abandoned = !state.has_part;
            } else {
                state.hedge_forbidden = true;
            }
        });
    }

    /// Undoes [`Self::abandon_shard`] for a shard that no attempt was sent for.
    pub fn restore_shard(&mut self, shard: usize) {
        self.change(shard, |state| state.abandoned = false);
    }

    /// Tells whether a shard's part has arrived.
    #[must_use]
    pub fn has_part(&self, shard: usize) -> bool {
        self.shards[shard].has_part
    }

    /// Tells whether a shard was abandoned.
    #[must_use]
    pub fn is_abandoned(&self, shard: usize) -> bool {
        self.shards[shard].abandoned
    }

    /// Tells whether an attempt for a shard is in flight.
    #[must_use]
    pub fn has_outstanding_attempt(&self, shard: usize) -> bool {
        self.shards[shard].outstanding > 0
    }

    /// Returns the number of parts that have arrived or may still arrive.
    #[must_use]
    pub fn obtainable_parts(&self) -> usize {
        self.received + self.open
    }

    /// Returns the number of parts that have arrived.
    #[must_use]
    pub fn received_parts(&self) -> usize {
        self.received
    }

    /// Decides the next step.
    #[must_use]
    pub fn next_step(&mut self, now: Instant) -> GatherStep {
        let has_enough = self.received >= self.limits.min_shards;
        if self.obtainable_parts() < self.limits.min_shards {
            return GatherStep::Fail;
        }
        if has_enough && (self.open == 0 || now >= self.limits.objective_at) {
            return GatherStep::Answer;
        }
        if now >= self.limits.deadline {
            return GatherStep::Fail;
        }
        let limit = if has_enough { self.limits.objective_at } else { self.limits.deadline };
        self.next_hedge(now, limit)
    }

    fn next_hedge(&mut self, now: Instant, limit: Instant) -> GatherStep {
        let Some(hedge_delay) = self.limits.hedge_delay else { return GatherStep::Wait(limit) };
        while let Some(&Reverse((sent_at, shard))) = self.hedgeable.peek() {
            if !self.shards[shard].may_hedge(sent_at, self.limits.attempts_max) {
                self.hedgeable.pop();
                continue;
            }
            let due_at = (sent_at + hedge_delay).max(self.next_wave_at(now, hedge_delay));
            if due_at > now {
                return GatherStep::Wait(limit.min(due_at));
            }
            return GatherStep::Hedge(shard);
        }
        GatherStep::Wait(limit)
    }

    /// Returns when the next hedge may be sent: now, or once the present wave has ended if it is full.
    fn next_wave_at(&self, now: Instant, hedge_delay: Duration) -> Instant {
        let hedges_max = ((self.shards.len() as f64 * HEDGE_WAVE_SHARE) as usize).max(1);
        let full = self.wave.filter(|wave| wave.hedges >= hedges_max);
        full.map_or(now, |wave| (wave.began_at + hedge_delay).max(now))
    }

    fn record_hedge(&mut self, now: Instant) {
        let hedge_delay = self.limits.hedge_delay.unwrap_or_default();
        let present = self.wave.filter(|wave| now < wave.began_at + hedge_delay);
        let mut wave = present.unwrap_or(HedgeWave { began_at: now, hedges: 0 });
        wave.hedges += 1;
        self.wave = Some(wave);
    }

    /// Changes a shard's state, and keeps the counts and the queue of hedges in step with it.
    fn change(&mut self, shard: usize, act: impl FnOnce(&mut ShardState)) {
        let state = &mut self.shards[shard];
        self.received -= usize::from(state.has_part);
        self.open -= usize::from(state.is_open());
        act(state);
        self.received += usize::from(state.has_part);
        self.open += usize::from(state.is_open());
        if let Some(sent_at) = state.sent_at
            && state.may_hedge(sent_at, self.limits.attempts_max)
        {
            self.hedgeable.push(Reverse((sent_at, shard)));
        }
    }
}
