//! The steps of a gather, compared with a simple model that recomputes them from all shards each time.

use std::time::{Duration, Instant};

use egret_policy::{GatherLimits, GatherProgress, GatherStep};
use quickcheck::{Arbitrary, Gen, quickcheck};

const SHARDS: usize = 6;

#[derive(Clone, Debug)]
enum Event {
    Sent(usize),
    HedgeForbidden(usize),
    PartArrived(usize),
    Failed(usize),
    Unsent(usize),
    Abandoned(usize),
    Restored(usize),
    TimePassed(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let shard = usize::arbitrary(g) % SHARDS;
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Sent(shard),
            3 => Self::HedgeForbidden(shard),
            4 => Self::PartArrived(shard),
            5 => Self::Failed(shard),
            6 => Self::Unsent(shard),
            7 => Self::Abandoned(shard),
            8 => Self::Restored(shard),
            _ => Self::TimePassed(u8::arbitrary(g)),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Shard {
    sent_at: Option<Instant>,
    attempts: usize,
    outstanding: usize,
    hedge_forbidden: bool,
    has_part: bool,
    abandoned: bool,
}

/// Returns the next step of a gather, computed from all shards.
fn expected_step(shards: &[Shard], limits: &GatherLimits, now: Instant) -> GatherStep {
    let received = shards.iter().filter(|shard| shard.has_part).count();
    let open = shards.iter().filter(|shard| !shard.has_part && !shard.abandoned).count();
    if received + open < limits.min_shards {
        return GatherStep::Fail;
    }
    if received >= limits.min_shards && (open == 0 || now >= limits.objective_at) {
        return GatherStep::Answer;
    }
    if now >= limits.deadline {
        return GatherStep::Fail;
    }
    let limit = if received >= limits.min_shards { limits.objective_at } else { limits.deadline };
    let Some(hedge_delay) = limits.hedge_delay else { return GatherStep::Wait(limit) };
    let may_hedge = |shard: &&Shard| {
        !shard.has_part
            && !shard.abandoned
            && shard.outstanding == 1
            && !shard.hedge_forbidden
            && shard.attempts < limits.attempts_max
    };
    let due =
        shards.iter().filter(may_hedge).filter_map(|shard| shard.sent_at).min().map(|at| at + hedge_delay);
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
        Event::HedgeForbidden(at) => {
            progress.forbid_hedge(at);
            shards[at].hedge_forbidden = true;
        }
        Event::PartArrived(at) => {
            progress.record_part(at);
            shards[at].outstanding = shards[at].outstanding.saturating_sub(1);
            shards[at].has_part = true;
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
        Event::Abandoned(at) => {
            progress.abandon_shard(at);
            if shards[at].outstanding == 0 {
                shards[at].abandoned = !shards[at].has_part;
            } else {
                shards[at].hedge_forbidden = true;
            }
        }
        Event::Restored(at) => {
            progress.restore_shard(at);
            shards[at].abandoned = false;
        }
        Event::TimePassed(ms) => *now += Duration::from_millis(u64::from(ms)),
    }
}

quickcheck! {
    fn steps_equal_the_simple_model(events: Vec<Event>, min_shards: usize, attempts_max: usize) -> bool {
        let start = Instant::now();
        let limits = GatherLimits {
            min_shards: min_shards % (SHARDS + 1),
            objective_at: start + Duration::from_millis(300),
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
                // The order of the hedges that are due is not specified.
                GatherStep::Hedge(_) => GatherStep::Hedge(0),
                step => step,
            };
            step == expected_step(&shards, &limits, now)
                && progress.obtainable_parts()
                    == shards.iter().filter(|shard| shard.has_part || !shard.abandoned).count()
        })
    }
}
