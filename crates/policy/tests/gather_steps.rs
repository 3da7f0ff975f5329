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

/// The times of all hedges that were sent.
type Hedges = Vec<Instant>;

/// Returns when the next hedge may be sent: a wave begins with its first hedge and lasts one hedge
/// delay, and a quarter of the six shards allows one hedge in it.
fn next_wave_at(hedges: &Hedges, hedge_delay: Duration) -> Option<Instant> {
    let mut began = None;
    for &hedge in hedges {
        if began.is_none_or(|began| hedge >= began + hedge_delay) {
            began = Some(hedge);
        }
    }
    began.map(|began| began + hedge_delay)
}

/// Returns the next step of a gather, computed from all shards and hedges.
fn expected_step(shards: &[Shard], hedges: &Hedges, limits: &GatherLimits, now: Instant) -> GatherStep {
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
    let wave_at = next_wave_at(hedges, hedge_delay);
    match due.map(|due| wave_at.map_or(due, |wave_at| due.max(wave_at))) {
        Some(due) if due <= now => GatherStep::Hedge(0),
        Some(due) => GatherStep::Wait(limit.min(due)),
        None => GatherStep::Wait(limit),
    }
}

fn apply(
    event: &Event,
    shards: &mut [Shard],
    hedges: &mut Hedges,
    progress: &mut GatherProgress,
    now: &mut Instant,
) {
    match *event {
        Event::Sent(at) => {
            progress.record_sent(*now, at);
            let shard = &mut shards[at];
            hedges.extend((shard.outstanding > 0).then_some(*now));
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
        let mut hedges = Hedges::new();
        let mut now = start;
        events.iter().all(|event| {
            apply(event, &mut shards, &mut hedges, &mut progress, &mut now);
            let step = match progress.next_step(now) {
                // The order of the hedges that are due is not specified.
                GatherStep::Hedge(_) => GatherStep::Hedge(0),
                step => step,
            };
            step == expected_step(&shards, &hedges, &limits, now)
                && progress.obtainable_parts()
                    == shards.iter().filter(|shard| shard.has_part || !shard.abandoned).count()
        })
    }
}

/// Plays a gather over 90 shards on a host whose connections are all late at first, as after a start of
/// the whole fleet, and returns how many hedges it sends until the parts arrive.
fn hedges_of_a_slow_start(shards: usize, parts_after: Duration) -> usize {
    let start = Instant::now();
    let limits = GatherLimits {
        min_shards: shards,
        objective_at: start + Duration::from_millis(150),
        deadline: start + Duration::from_millis(2500),
        hedge_delay: Some(Duration::from_millis(60)),
        attempts_max: 2,
    };
    let mut progress = GatherProgress::new(shards, limits);
    (0..shards).for_each(|shard| progress.record_sent(start, shard));
    let mut hedges = 0;
    let mut now = start;
    while now < start + parts_after {
        match progress.next_step(now) {
            GatherStep::Hedge(shard) => {
                progress.record_sent(now, shard);
                hedges += 1;
            }
            _ => now += Duration::from_millis(1),
        }
    }
    hedges
}

/// A host that is slow itself must not double the load on all targets.
#[test]
fn at_most_a_quarter_of_the_shards_is_hedged_within_one_hedge_delay() {
    assert_eq!(hedges_of_a_slow_start(90, Duration::from_millis(119)), 22);
    assert_eq!(hedges_of_a_slow_start(90, Duration::from_millis(179)), 44);
    assert_eq!(hedges_of_a_slow_start(1, Duration::from_millis(100)), 1, "a single request is hedged");
    // Targets that went dark together are all hedged in the end.
    assert_eq!(hedges_of_a_slow_start(90, Duration::from_millis(600)), 90);
}
