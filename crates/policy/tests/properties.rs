//! Properties that hold for the decisions under random sequences of operations.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{BlockName, DataCentre, Fingerprint, HostName, Incarnation, SnapshotId, SnapshotShards};
use egret_policy::{
    Admission, Claim, Completion, Decision, Dispatcher, HealthReport, Limits, MARK_TTL, OWNER_CANDIDATES,
    POISON_BREAK_COUNT, RelayHost, ReplicaPhase, ServiceSnapshots, Suspects, Ticket, TicketRegistry,
    TokenBucket, Work, WorkId, choose_snapshot, owner_candidates,
};
use quickcheck::{Gen, QuickCheck};

const SLOTS: u16 = 2;

fn check(tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).tests(tests)
}

fn target(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(number % 3)))
}

/// A model of a dispatcher: the slots in use and the work that waits.
struct Model {
    running: BTreeMap<SocketAddr, u16>,
    waiting: Vec<WorkId>,
}

impl Model {
    fn start(&mut self, address: SocketAddr) -> bool {
        let running = self.running.entry(address).or_default();
        *running += 1;
        *running <= SLOTS
    }

    fn apply(&mut self, decisions: Vec<Decision>) -> bool {
        decisions.into_iter().all(|decision| {
            let (Decision::Start(id, _) | Decision::Refuse(id, _)) = decision;
            let Some(at) = self.waiting.iter().position(|waiting| *waiting == id) else { return false };
            self.waiting.remove(at);
            match decision {
                Decision::Start(_, address) => self.start(address),
                Decision::Refuse(..) => true,
            }
        })
    }
}

/// No replica ever runs more than its slots, and every wait ends with one decision.
fn slots_hold(operations: Vec<(u8, u8, u8)>) -> bool {
    let mut now = Instant::now();
    let mut dispatcher = Dispatcher::new(Limits { slots: SLOTS, queue: 8, ..Limits::default() });
    let all: Vec<SocketAddr> = (0..3).map(target).collect();
    let mut model = Model { running: BTreeMap::new(), waiting: Vec::new() };
    let ready =
        HealthReport { incarnation: Some(Incarnation(1)), phase: ReplicaPhase::Ready, held: Vec::new() };
    let mut holds = model.apply(dispatcher.set_replicas(now, &all));
    for (number, (operation, which, amount)) in operations.into_iter().enumerate() {
        let address = target(which);
        holds &= match operation % 6 {
            0 | 1 => {
                let id = WorkId(number as u64);
                let deadline = now + Duration::from_millis(u64::from(amount) * 4);
                let replicas = if which % 2 == 0 { all.clone() } else { vec![address] };
                let unproven = (amount % 3 == 0).then_some(Fingerprint(u64::from(amount % 2)));
                let work =
                    Work { id, rank: 1 + which % 3, deadline, replicas, suspect: amount % 7 == 0, unproven };
                let offered = dispatcher.offer(now, work);
                let started = match offered.admission {
                    Admission::Start(address) => model.start(address),
                    Admission::Queued => {
                        model.waiting.push(id);
                        true
                    }
                    Admission::Refused(_) => true,
                };
                started && model.apply(offered.decisions)
            }
            2 => {
                let running = model.running.entry(address).or_default();
                if *running == 0 {
                    continue;
                }
                *running -= 1;
                let finish = [
                    Completion::Answered(Duration::from_millis(5)),
                    Completion::Failed,
                    Completion::ConnectionLost,
                    Completion::NotRun,
                ][usize::from(amount % 4)];
                model.apply(dispatcher.finish(now, address, None, finish))
            }
            3 => model.apply(dispatcher.report(now, address, ready.clone())),
            4 => {
                now += Duration::from_millis(u64::from(amount));
                model.apply(dispatcher.poll(now))
            }
            _ => match dispatcher.hedge(now, &all, &[address], None) {
                Some(address) => model.start(address),
                None => true,
            },
        };
    }
    now += Duration::from_secs(60);
    holds && model.apply(dispatcher.poll(now)) && model.waiting.is_empty()
}

#[test]
fn no_replica_runs_more_than_its_slots_and_every_wait_ends() {
    check(500).quickcheck(slots_hold as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Claims, answers and the passage of time in any order never let a ticket run twice.
fn tickets_run_once(operations: Vec<(u8, u8)>) -> bool {
    let start = Instant::now();
    let mut now = start;
    let home: SocketAddr = "127.0.0.1:7200".parse().unwrap();
    let limits = (Duration::from_millis(500), 4, 2);
    let mut registry: TicketRegistry<u8> = TicketRegistry::new(now, home, Incarnation(1), [7; 32], limits);
    let mut tickets: Vec<(Ticket, u32)> = Vec::new();
    for (operation, which) in operations {
        match operation % 4 {
            0 => tickets.push((registry.mint(now), 0)),
            1 if !tickets.is_empty() => {
                let at = usize::from(which) % tickets.len();
                let claim = registry.claim(now, &tickets[at].0, Fingerprint(u64::from(which % 2)));
                tickets[at].1 += u32::from(claim == Claim::Run);
                if registry.len() > 4 {
                    return false;
                }
            }
            2 if !tickets.is_empty() => {
                registry.record_answer(&tickets[usize::from(which) % tickets.len()].0, which);
            }
            _ => now += Duration::from_millis(u64::from(which)),
        }
    }
    tickets.iter().all(|(_, runs)| *runs <= 1)
}

#[test]
fn a_ticket_is_granted_at_most_once() {
    check(2000).quickcheck(tickets_run_once as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_forged_ticket_or_one_of_another_run_is_never_granted() {
    let now = Instant::now();
    let home: SocketAddr = "127.0.0.1:7200".parse().unwrap();
    let limits = (Duration::from_secs(10), 10, 10);
    let open = |run, key| TicketRegistry::<u8>::new(now, home, Incarnation(run), [key; 32], limits);
    let (mut first, mut second) = (open(1, 1), open(2, 2));
    let ticket = first.mint(now);
    assert_eq!(second.claim(now, &ticket, Fingerprint(1)), Claim::HomeLost);
    let forged = Ticket { number: 99, ..ticket.clone() };
    assert_eq!(first.claim(now, &forged, Fingerprint(1)), Claim::Forged);
    let elsewhere =
        Ticket { home: "127.0.0.9:7200".parse().unwrap(), incarnation: Incarnation(9), ..ticket.clone() };
    assert_eq!(first.claim(now, &elsewhere, Fingerprint(1)), Claim::Elsewhere(elsewhere.home));
    assert_eq!(ticket.to_string().parse::<Ticket>().unwrap(), ticket);
    assert_eq!(first.claim(now, &ticket, Fingerprint(1)), Claim::Run);
    assert_eq!(first.claim(now, &ticket, Fingerprint(2)), Claim::OtherRequest);
    // After a ticket expires, whether its request ran is no longer known.
    assert_eq!(
        first.claim(now + Duration::from_secs(11), &first.clone().mint(now), Fingerprint(1)),
        Claim::Expired
    );
}

fn hosts(count: u8) -> Vec<RelayHost> {
    let host = |number: u8| RelayHost {
        host: HostName::new(format!("host-{number}")).unwrap(),
        data_centre: DataCentre::new(["seeb", "rusayl", "barka"][usize::from(number % 3)]).unwrap(),
        relay: SocketAddr::from(([127, 0, 0, number], 7300)),
    };
    (0..count).map(host).collect()
}

/// The removal of a host changes nothing for blocks that it is not a candidate of. The other blocks
/// keep their remaining candidates in order, and their owner where it was not the one removed.
fn removal_keeps_other_candidates(block: u16, count: u8, removed: u8) -> bool {
    let all = hosts(3 + count % 60);
    let block = BlockName::new(format!("block-{block}")).unwrap();
    let near = [DataCentre::new("rusayl").unwrap(), DataCentre::new("seeb").unwrap()];
    let before = owner_candidates(&block, &near, &all);
    let removed = all[usize::from(removed) % all.len()].host.clone();
    let rest: Vec<RelayHost> = all.iter().filter(|host| host.host != removed).cloned().collect();
    let after = owner_candidates(&block, &near, &rest);
    let kept: Vec<_> = before.iter().filter(|host| host.host != removed).collect();
    let still: Vec<_> = after.iter().filter(|host| before.contains(host)).collect();
    let unaffected = kept.len() < before.len() || before == after;
    let owner_stays = before[0].host == removed || before[0] == after[0];
    before.len() == OWNER_CANDIDATES.min(all.len()) && kept == still && unaffected && owner_stays
}

#[test]
fn the_loss_of_a_host_moves_only_its_own_blocks() {
    check(500).quickcheck(removal_keeps_other_candidates as fn(u16, u8, u8) -> bool);
}

/// The candidates of a block span as many of its data centres as possible.
fn candidates_span_data_centres(block: u16, count: u8, near: u8) -> bool {
    let all = hosts(3 + count % 60);
    let block = BlockName::new(format!("block-{block}")).unwrap();
    let mut data_centres: Vec<DataCentre> = all.iter().map(|host| host.data_centre.clone()).collect();
    data_centres.sort();
    data_centres.dedup();
    data_centres.truncate(1 + usize::from(near) % data_centres.len());
    let mut spanned: Vec<DataCentre> =
        owner_candidates(&block, &data_centres, &all).into_iter().map(|host| host.data_centre).collect();
    spanned.sort();
    spanned.dedup();
    let near_spanned = spanned.iter().filter(|data_centre| data_centres.contains(data_centre)).count();
    near_spanned == data_centres.len().min(OWNER_CANDIDATES)
}

#[test]
fn the_loss_of_a_data_centre_leaves_a_candidate_near_the_other_replicas() {
    check(500).quickcheck(candidates_span_data_centres as fn(u16, u8, u8) -> bool);
}

/// The chosen snapshot covers the most shards and is the newest of those that do.
fn best_snapshot(services: Vec<Vec<u8>>) -> bool {
    let of = |held: &Vec<u8>| {
        let shards = |at: usize| u32::from(held.get(at).copied().unwrap_or(0) % 4);
        let list = |count: &dyn Fn(usize) -> u32| {
            (0..3).map(|at| SnapshotShards { snapshot: SnapshotId(at as u64), shards: count(at) }).collect()
        };
        ServiceSnapshots { declared: list(&|_| 3), observed: Some(list(&shards)) }
    };
    let services: Vec<ServiceSnapshots> = services.iter().map(of).collect();
    let Some(chosen) = choose_snapshot(&services) else { return services.is_empty() };
    let covered = |id: u64| -> u32 {
        services
            .iter()
            .flat_map(|s| s.observed.as_ref().unwrap())
            .filter(|s| s.snapshot.0 == id)
            .map(|s| s.shards)
            .sum()
    };
    (0..3).all(|id| covered(id) < covered(chosen.0) || (covered(id) == covered(chosen.0) && id <= chosen.0))
}

#[test]
fn the_snapshot_with_the_most_shards_is_chosen() {
    check(500).quickcheck(best_snapshot as fn(Vec<Vec<u8>>) -> bool);
}

/// Extra attempts never exceed the budget's share of the first attempts and its burst.
fn budget_holds(earned: Vec<bool>) -> bool {
    let mut bucket = TokenBucket::new(10.0);
    let mut spent = 0.0;
    let mut needed = 0.0;
    for earn in earned {
        if earn {
            bucket.earn();
            needed += 1.0;
        } else if bucket.spend() {
            spent += 1.0;
        }
    }
    spent <= 1.0 + needed * 0.1 + 1e-9
}

#[test]
fn extra_attempts_stay_within_their_budget() {
    check(1000).quickcheck(budget_holds as fn(Vec<bool>) -> bool);
}

#[test]
fn a_second_break_makes_a_request_poison_until_its_mark_expires() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let fingerprint = Fingerprint(5);
    assert_eq!(suspects.record_break(now, fingerprint, false), 1);
    assert!(suspects.is_suspect(now, fingerprint));
    // A request that shared the target is a suspect for a short time only.
    assert!(!suspects.is_suspect(now + Duration::from_secs(3), fingerprint));
    assert_eq!(suspects.record_break(now + Duration::from_secs(3), fingerprint, false), POISON_BREAK_COUNT);
    assert!(suspects.is_poison(now + Duration::from_secs(3), fingerprint));
    assert!(!suspects.is_poison(now + Duration::from_secs(4) + MARK_TTL, fingerprint));
    assert_eq!(suspects.breaks(now, Fingerprint(6)), 0);
}
