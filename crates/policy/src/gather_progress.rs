//! When a gather sends second copies, answers early, or gives up.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

/// What a gather aims at.
#[derive(Clone, Copy, Debug)]
pub struct GatherLimits {
    /// Shards that an answer needs, at least.
    pub min_shards: usize,
    /// When an answer stops being worth most.
    pub goal_at: Instant,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// How long a first copy may take before a second one makes sense; `None` for never.
    pub hedge_delay: Option<Duration>,
    /// Replicas of one shard that may get a copy.
    pub attempts_max: usize,
}

/// What a gather does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherStep {
    /// Send another copy to another replica of the shard, if the budget allows it.
    Hedge(usize),
    /// Answer with the parts that are in.
    Answer,
    /// Tell the caller that there will be no answer.
    Fail,
    /// Wait for parts, at most until then.
    Wait(Instant),
}

#[derive(Clone, Debug, Default)]
struct ShardState {
    sent_at: Option<Instant>,
    attempts: usize,
    outstanding: usize,
    hedge_refused: bool,
    done: bool,
    dead: bool,
}

impl ShardState {
    fn is_open(&self) -> bool {
        !self.done && !self.dead
    }

    /// Tells whether a second copy may go out beside the one sent then.
    fn may_hedge(&self, sent_at: Instant, attempts_max: usize) -> bool {
        self.is_open()
            && self.outstanding == 1
            && !self.hedge_refused
            && self.attempts < attempts_max
            && self.sent_at == Some(sent_at)
    }
}

/// The state of one gather: which parts are in, which are out, what is next.
///
/// Answers the load of shards whose replicas pause: one pausing replica in twenty is met by
/// more than half of all queries, so a copy goes elsewhere soon, and shortly before the goal
/// an answer over the least share goes out rather than a late one over all shards. See
/// docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct GatherProgress {
    limits: GatherLimits,
    shards: Vec<ShardState>,
    /// Shards whose part is in.
    done: usize,
    /// Shards whose part may still come.
    open: usize,
    /// When copies were sent that may want a second one, the earliest first. Entries that no
    /// longer hold are dropped as they come up, so that no step looks at all shards.
    sent: BinaryHeap<Reverse<(Instant, usize)>>,
}

impl GatherProgress {
    /// Starts a gather over so many shards.
    #[must_use]
    pub fn new(shards: usize, limits: GatherLimits) -> Self {
        let states = vec![ShardState::default(); shards];
        Self { limits, shards: states, done: 0, open: shards, sent: BinaryHeap::new() }
    }

    /// Counts a copy that was sent to a replica of a shard.
    pub fn record_sent(&mut self, now: Instant, shard: usize) {
        self.change(shard, |state| {
            state.sent_at = Some(now);
            state.attempts += 1;
            state.outstanding += 1;
        });
    }

    /// Notes that the budget, or the lack of another replica, forbids a second copy.
    pub fn forbid_hedge(&mut self, shard: usize) {
        self.shards[shard].hedge_refused = true;
    }

    /// Takes a part.
    pub fn record_part(&mut self, shard: usize) {
        self.change(shard, |state| {
            state.outstanding = state.outstanding.saturating_sub(1);
            state.done = true;
        });
    }

    /// Takes the failure of a copy; returns whether the shard may be tried again.
    pub fn record_failure(&mut self, shard: usize) -> bool {
        self.change(shard, |state| state.outstanding = state.outstanding.saturating_sub(1));
        let state = &self.shards[shard];
        !state.done && state.outstanding == 0 && state.attempts < self.limits.attempts_max
    }

    /// Takes back a copy of which nothing left this host.
    pub fn undo_sent(&mut self, shard: usize) {
        self.change(shard, |state| {
            state.outstanding = state.outstanding.saturating_sub(1);
            state.attempts = state.attempts.saturating_sub(1);
        });
    }

    /// Gives a shard up, unless a copy of it still runs.
    pub fn abandon_shard(&mut self, shard: usize) {
        self.change(shard, |state| {
            if state.outstanding == 0 {
                state.dead = !state.done;
            } else {
                state.hedge_refused = true;
            }
        });
    }

    /// Takes up a shard again that was given up before anything was sent.
    pub fn restore_shard(&mut self, shard: usize) {
        self.change(shard, |state| state.dead = false);
    }

    /// Tells whether a shard's part is in.
    #[must_use]
    pub fn has_part(&self, shard: usize) -> bool {
        self.shards[shard].done
    }

    /// Tells whether a shard was given up.
    #[must_use]
    pub fn is_abandoned(&self, shard: usize) -> bool {
        self.shards[shard].dead
    }

    /// Tells whether a copy for a shard is out.
    #[must_use]
    pub fn has_outstanding_copy(&self, shard: usize) -> bool {
        self.shards[shard].outstanding > 0
    }

    /// Returns the number of parts that are in or still out.
    #[must_use]
    pub fn obtainable_parts(&self) -> usize {
        self.done + self.open
    }

    /// Returns the number of parts that are in.
    #[must_use]
    pub fn received_parts(&self) -> usize {
        self.done
    }

    /// Decides what is next.
    #[must_use]
    pub fn next_step(&mut self, now: Instant) -> GatherStep {
        let is_enough = self.done >= self.limits.min_shards;
        if self.obtainable_parts() < self.limits.min_shards {
            return GatherStep::Fail;
        }
        if is_enough && (self.open == 0 || now >= self.limits.goal_at) {
            return GatherStep::Answer;
        }
        if now >= self.limits.deadline {
            return GatherStep::Fail;
        }
        let limit = if is_enough { self.limits.goal_at } else { self.limits.deadline };
        self.next_hedge(now, limit)
    }

    fn next_hedge(&mut self, now: Instant, limit: Instant) -> GatherStep {
        let Some(hedge_after) = self.limits.hedge_delay else { return GatherStep::Wait(limit) };
        while let Some(&Reverse((sent_at, shard))) = self.sent.peek() {
            if !self.shards[shard].may_hedge(sent_at, self.limits.attempts_max) {
                self.sent.pop();
                continue;
            }
            let due_at = sent_at + hedge_after;
            return if due_at <= now {
                GatherStep::Hedge(shard)
            } else {
                GatherStep::Wait(limit.min(due_at))
            };
        }
        GatherStep::Wait(limit)
    }

    /// Changes a shard's state, and with it what is counted of all shards.
    fn change(&mut self, shard: usize, act: impl FnOnce(&mut ShardState)) {
        let state = &mut self.shards[shard];
        self.done -= usize::from(state.done);
        self.open -= usize::from(state.is_open());
        act(state);
        self.done += usize::from(state.done);
        self.open += usize::from(state.is_open());
        if let Some(sent_at) = state.sent_at
            && state.may_hedge(sent_at, self.limits.attempts_max)
        {
            self.sent.push(Reverse((sent_at, shard)));
        }
    }
}
