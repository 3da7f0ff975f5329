//! The steps of a gather, held against a plain model that looks at all shards each time.

use std::time::{Duration, Instant};

use egret_policy::{GatherLimits, GatherProgress, GatherStep};
use quickcheck::{Arbitrary, Gen, quickcheck};

const SHARDS: usize = 6;

#[derive(Clone, Debug)]
enum Event {
    Sent(usize),
    Refused(usize),
    Arrived(usize),
    Failed(usize),
    Unsent(usize),
    GivenUp(usize),
    TakenUp(usize),
    Passed(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let shard = usize::arbitrary(g) % SHARDS;
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Sent(shard),
            3 => Self::Refused(shard),
            4 => Self::Arrived(shard),
            5 => Self::Failed(shard),
            6 => Self::Unsent(shard),
            7 => Self::GivenUp(shard),
            8 => Self::TakenUp(shard),
            _ => Self::Passed(u8::arbitrary(g)),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Shard {
    sent_at: Option<Instant>,
    attempts: usize,
    outstanding: usize,
    refused: bool,
    done: bool,
    dead: bool,
}

/// What a gather does next, by the plain rules.
fn expected(shards: &[Shard], limits: &GatherLimits, now: Instant) -> GatherStep {
    let done = shards.iter().filter(|shard| shard.done).count();
    let open = shards.iter().filter(|shard| !shard.done && !shard.dead).count();
    if done + open < limits.min_shards {
        return GatherStep::Fail;
    }
    if done >= limits.min_shards && (open == 0 || now >= limits.goal_at) {
        return GatherStep::Answer;
    }
    if now >= limits.deadline {
        return GatherStep::Fail;
    }
    let limit = if done >= limits.min_shards { limits.goal_at } else { limits.deadline };
    let Some(hedge_after) = limits.hedge_delay else { return GatherStep::Wait(limit) };
    let waits = |shard: &&Shard| {
        !shard.done
            && !shard.dead
            && shard.outstanding == 1
            && !shard.refused
            && shard.attempts < limits.attempts_max
    };
    let due = shards.iter().filter(waits).filter_map(|shard| shard.sent_at).min().map(|at| at + hedge_after);
    match due {
        Some(due) if due <= now => GatherStep::Hedge(0),
        Some(due) => GatherStep::Wait(limit.min(due)),
        None => GatherStep::Wait(limit),
    }
}

fn apply(event: &Event, shards: &mut [Shard], progress: &mut GatherProgress, now: &mut Instant) {
    match *event {
        Event::Sent(at) => {
            progress.record_sent(*now, at);
            let shard = &mut shards[at];
            (shard.sent_at, shard.attempts, shard.outstanding) =
                (Some(*now), shard.attempts + 1, shard.outstanding + 1);
        }
        Event::Refused(at) => {
            progress.forbid_hedge(at);
            shards[at].refused = true;
        }
        Event::Arrived(at) => {
            progress.record_part(at);
            shards[at].outstanding = shards[at].outstanding.saturating_sub(1);
            shards[at].done = true;
        }
        Event::Failed(at) => {
            progress.record_failure(at);
            shards[at].outstanding = shards[at].outstanding.saturating_sub(1);
        }
        Event::Unsent(at) => {
            progress.undo_sent(at);
            shards[at].outstanding = shards[at].outstanding.saturating_sub(1);
            shards[at].attempts = shards[at].attempts.saturating_sub(1);
        }
        Event::GivenUp(at) => {
            progress.abandon_shard(at);
            if shards[at].outstanding == 0 {
                shards[at].dead = !shards[at].done;
            } else {
                shards[at].refused = true;
            }
        }
        Event::TakenUp(at) => {
            progress.restore_shard(at);
            shards[at].dead = false;
        }
        Event::Passed(ms) => *now += Duration::from_millis(u64::from(ms)),
    }
}

quickcheck! {
    fn steps_follow_the_plain_rules(events: Vec<Event>, least: usize, attempts_max: usize) -> bool {
        let start = Instant::now();
        let limits = GatherLimits {
            min_shards: least % (SHARDS + 1),
            goal_at: start + Duration::from_millis(300),
            deadline: start + Duration::from_millis(900),
            hedge_delay: Some(Duration::from_millis(60)),
            attempts_max: attempts_max % 4,
        };
        let mut progress = GatherProgress::new(SHARDS, limits);
        let mut shards = vec![Shard::default(); SHARDS];
        let mut now = start;
        events.iter().all(|event| {
            apply(event, &mut shards, &mut progress, &mut now);
            let step = match progress.next_step(now) {
                // Which of the shards that are due comes first is open.
                GatherStep::Hedge(_) => GatherStep::Hedge(0),
                step => step,
            };
            step == expected(&shards, &limits, now)
                && progress.obtainable_parts() == shards.iter().filter(|shard| shard.done || !shard.dead).count()
        })
    }
}
