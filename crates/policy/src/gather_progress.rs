//! When a gather sends second copies, answers early, or gives up.

use std::time::{Duration, Instant};

/// What a gather aims at.
#[derive(Clone, Copy, Debug)]
pub struct GatherAim {
    /// Shards that an answer needs, at least.
    pub least: usize,
    /// When an answer stops being worth most.
    pub goal_at: Instant,
    /// When the caller must have its answer.
    pub end_at: Instant,
    /// How long a first copy may take before a second one makes sense; `None` for never.
    pub hedge_after: Option<Duration>,
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
    GiveUp,
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

/// The state of one gather: which parts are in, which are out, what is next.
///
/// Answers the load of shards whose replicas pause: one pausing replica in twenty is met by
/// more than half of all queries, so a copy goes elsewhere soon, and shortly before the goal
/// an answer over the least share goes out rather than a late one over all shards. See
/// docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct GatherProgress {
    aim: GatherAim,
    shards: Vec<ShardState>,
}

impl GatherProgress {
    /// Starts a gather over so many shards.
    #[must_use]
    pub fn new(shards: usize, aim: GatherAim) -> Self {
        Self { aim, shards: vec![ShardState::default(); shards] }
    }

    /// Counts a copy that was sent to a replica of a shard.
    pub fn sent(&mut self, now: Instant, shard: usize) {
        let state = &mut self.shards[shard];
        state.sent_at = Some(now);
        state.attempts += 1;
        state.outstanding += 1;
    }

    /// Notes that the budget, or the lack of another replica, forbids a second copy.
    pub fn hedge_refused(&mut self, shard: usize) {
        self.shards[shard].hedge_refused = true;
    }

    /// Takes a part.
    pub fn arrived(&mut self, shard: usize) {
        let state = &mut self.shards[shard];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.done = true;
    }

    /// Takes the failure of a copy; returns whether the shard may be tried again.
    pub fn failed(&mut self, shard: usize) -> bool {
        let state = &mut self.shards[shard];
        state.outstanding = state.outstanding.saturating_sub(1);
        !state.done && state.outstanding == 0 && state.attempts < self.aim.attempts_max
    }

    /// Takes back a copy of which nothing left this host.
    pub fn unsent(&mut self, shard: usize) {
        let state = &mut self.shards[shard];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.attempts = state.attempts.saturating_sub(1);
    }

    /// Gives a shard up, unless a copy of it still runs.
    pub fn give_up_shard(&mut self, shard: usize) {
        let state = &mut self.shards[shard];
        if state.outstanding == 0 {
            state.dead = !state.done;
        } else {
            state.hedge_refused = true;
        }
    }

    /// Takes up a shard again that was given up before anything was sent.
    pub fn take_up(&mut self, shard: usize) {
        self.shards[shard].dead = false;
    }

    /// Tells whether a shard's part is in.
    #[must_use]
    pub fn is_done(&self, shard: usize) -> bool {
        self.shards[shard].done
    }

    /// Tells whether a shard was given up.
    #[must_use]
    pub fn is_out(&self, shard: usize) -> bool {
        self.shards[shard].dead
    }

    /// Tells whether a copy for a shard is out.
    #[must_use]
    pub fn is_sent(&self, shard: usize) -> bool {
        self.shards[shard].outstanding > 0
    }

    /// Returns the number of parts that are in or still out.
    #[must_use]
    pub fn hopeful(&self) -> usize {
        self.shards.iter().filter(|shard| shard.done || !shard.dead).count()
    }

    /// Returns the number of parts that are in.
    #[must_use]
    pub fn done(&self) -> usize {
        self.shards.iter().filter(|shard| shard.done).count()
    }

    /// Decides what is next.
    #[must_use]
    pub fn next(&self, now: Instant) -> GatherStep {
        let done = self.done();
        let open = self.shards.iter().filter(|shard| !shard.done && !shard.dead).count();
        let is_enough = done >= self.aim.least;
        if done + open < self.aim.least {
            return GatherStep::GiveUp;
        }
        if is_enough && (open == 0 || now >= self.aim.goal_at) {
            return GatherStep::Answer;
        }
        if now >= self.aim.end_at {
            return GatherStep::GiveUp;
        }
        let limit = if is_enough { self.aim.goal_at } else { self.aim.end_at };
        self.next_hedge(now, limit)
    }

    fn next_hedge(&self, now: Instant, limit: Instant) -> GatherStep {
        let Some(hedge_after) = self.aim.hedge_after else { return GatherStep::Wait(limit) };
        let mut wake_at = limit;
        for (at, shard) in self.shards.iter().enumerate() {
            let is_waiting = !shard.done && !shard.dead && shard.outstanding == 1 && !shard.hedge_refused;
            let Some(sent_at) = shard.sent_at.filter(|_| is_waiting) else { continue };
            if shard.attempts >= self.aim.attempts_max {
                continue;
            }
            let due_at = sent_at + hedge_after;
            if due_at <= now {
                return GatherStep::Hedge(at);
            }
            wake_at = wake_at.min(due_at);
        }
        GatherStep::Wait(wake_at)
    }
}
