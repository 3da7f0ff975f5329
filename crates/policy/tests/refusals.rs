//! Refused gathers: which other gatherer is asked, and when the refusal is passed on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::{RefusalMemory, RefusalRetry};
use quickcheck::quickcheck;

const OBJECTIVE: Duration = Duration::from_millis(200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn gatherer(at: usize) -> Arc<str> {
    format!("gatherer-{at}").into()
}

fn refusers(memory: &RefusalMemory, now: Instant, priority: u32, objective: Duration) -> Vec<Arc<str>> {
    memory.refusers(now, priority, objective).cloned().collect()
}

/// Sends one gather to gatherers of which those in `refusing` refuse after this time; returns how many were asked, and
/// what the caller is told if it is refused.
fn send(
    memory: &mut RefusalMemory,
    now: Instant,
    gatherers: usize,
    refusing: impl Fn(usize) -> Option<Duration>,
) -> (usize, Option<Duration>) {
    let mut retry = RefusalRetry::new(true, now, OBJECTIVE, None);
    let mut tried = Vec::new();
    while retry.may_ask(now) {
        let mut passed_over = tried.clone();
        if retry.refused_after().is_some() {
            passed_over.extend(refusers(memory, now, 1, OBJECTIVE));
        }
        let Some(at) = (0..gatherers).find(|at| !passed_over.contains(&gatherer(*at))) else { break };
        tried.push(gatherer(at));
        let Some(after) = refusing(at) else { return (tried.len(), None) };
        memory.record(now, &gatherer(at), 1, OBJECTIVE);
        if let Some(after) = retry.refuse(after) {
            return (tried.len(), Some(after));
        }
    }
    (tried.len(), retry.refused_after())
}

/// Guards against refusals that keep a gatherer from being asked once its limit may have changed, and against those of
/// other priorities and objectives.
#[test]
fn a_refusal_is_remembered_for_a_hundred_milliseconds_for_its_kind_of_gather() {
    let start = Instant::now();
    let mut memory = RefusalMemory::default();
    memory.record(start, &gatherer(3), 1, OBJECTIVE);
    assert_eq!(refusers(&memory, start + ms(99), 1, OBJECTIVE), [gatherer(3)]);
    assert!(refusers(&memory, start + ms(100), 1, OBJECTIVE).is_empty());
    assert!(refusers(&memory, start, 0, OBJECTIVE).is_empty());
    assert!(refusers(&memory, start, 1, ms(60)).is_empty());
    memory.record(start + ms(50), &gatherer(3), 1, OBJECTIVE);
    assert_eq!(refusers(&memory, start + ms(149), 1, OBJECTIVE), [gatherer(3)]);
}

/// Guards against a refusal to the caller while another gatherer has capacity, and against more than one retry.
#[test]
fn one_other_gatherer_is_asked() {
    let start = Instant::now();
    let one_refuses = |at| (at == 0).then_some(ms(300));
    assert_eq!(send(&mut RefusalMemory::default(), start, 6, one_refuses), (2, None));
    let all_refuse = |at| Some(ms([300, 120, 50, 50, 50, 50][at]));
    assert_eq!(send(&mut RefusalMemory::default(), start, 6, all_refuse), (2, Some(ms(120))));
    assert_eq!(send(&mut RefusalMemory::default(), start, 1, all_refuse), (1, Some(ms(300))));
}

/// Guards against a second request for each refused gather while all gatherers refuse.
#[test]
fn no_other_gatherer_is_asked_while_all_refuse() {
    let (mut memory, start) = (RefusalMemory::default(), Instant::now());
    let all_refuse = |_| Some(ms(300));
    let asked: usize = (0..100).map(|_| send(&mut memory, start, 4, all_refuse).0).sum();
    assert_eq!(asked, 100 + 3, "each gatherer but the first is asked once more");
}

/// Guards against retries that delay a refusal beyond a quarter of the objective, and against a refusal as not run of a
/// gather that may have run.
#[test]
fn refusals_are_prompt_and_true() {
    let now = Instant::now();
    let mut retry = RefusalRetry::new(true, now, OBJECTIVE, None);
    assert!(retry.may_ask(now + ms(150)));
    assert_eq!(retry.prompt_until(), None);
    assert_eq!(retry.refuse(ms(300)), None);
    assert!(retry.may_ask(now + ms(49)) && !retry.may_ask(now + ms(50)));
    assert_eq!(retry.prompt_until(), Some(now + ms(50)));
    assert!(retry.fail(false), "nothing ran, so the first refusal is passed on");
    assert!(!retry.fail(true));
    assert_eq!(retry.refused_after(), None);
    assert!(retry.may_ask(now + ms(150)));
    // The refusal of this host itself is the first one.
    let mut own = RefusalRetry::new(true, now, OBJECTIVE, Some(ms(80)));
    assert_eq!(own.refuse(ms(300)), Some(ms(80)));
    let mut disabled = RefusalRetry::new(false, now, OBJECTIVE, None);
    assert_eq!(disabled.refuse(ms(300)), Some(ms(300)));
}

quickcheck! {
    /// Guards against a memory that grows with the gatherers and kinds of gathers.
    fn the_memory_is_bounded_and_forgets_the_oldest(steps: Vec<(u16, u8)>) -> bool {
        let (mut memory, mut now) = (RefusalMemory::default(), Instant::now());
        for at in 0..300 {
            memory.record(now, &gatherer(at), 1, OBJECTIVE);
        }
        for (at, step) in steps {
            now += ms(u64::from(step % 4));
            memory.record(now, &gatherer(usize::from(at)), u32::from(step % 3), OBJECTIVE);
            let last = gatherer(usize::from(at));
            if memory.len() > 256 || !refusers(&memory, now, u32::from(step % 3), OBJECTIVE).contains(&last) {
                return false;
            }
        }
        true
    }
}
