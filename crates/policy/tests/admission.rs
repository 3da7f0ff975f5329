//! Admission of whole queries: order and shares of the starts, promises to refused callers, and the goodput of
//! several hosts that send more to one index than it can complete.

mod admission_load;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use admission_load::{Demand, Load, Pool, ms};
use egret_policy::{
    QueryAdmission, QueryArrival, QueryEnd, QueryVerdict, ReturnPromises, ReturnState, common_queue,
};
use quickcheck::quickcheck;

const OBJECTIVE: Duration = Duration::from_millis(200);

fn arrival(now: Instant, id: u64, priority: u32) -> QueryArrival {
    QueryArrival {
        id,
        priority,
        objective: OBJECTIVE,
        sender: IpAddr::V4(Ipv4Addr::LOCALHOST),
        arrived_at: now,
        due_at: now + OBJECTIVE,
        budget: ms(2500),
        must_start: false,
    }
}

/// Ends a query that found this queue at its targets.
fn end(admission: &mut QueryAdmission, now: Instant, began_at: Instant, queued_per_slot: f64) {
    let service_time = ms(20);
    let queued_per_slot = Some(queued_per_slot);
    let host_delay = Duration::ZERO;
    let end =
        QueryEnd { priority: 1, objective: OBJECTIVE, began_at, queued_per_slot, service_time, host_delay };
    admission.end(now, Some(end));
}

/// Returns an admission whose limit has fallen to a few queries, with none in flight, and the time.
fn congested() -> (QueryAdmission, Instant) {
    let mut admission = QueryAdmission::default();
    let mut now = Instant::now();
    let began_at = now;
    (0..4).for_each(|id| assert_eq!(admission.offer(now, arrival(now, id, 1)), QueryVerdict::Start));
    now += ms(60);
    (0..4).for_each(|_| end(&mut admission, now, began_at, 6.0));
    assert!(admission.load().0 < 4.0, "{:?}", admission.load());
    (admission, now + ms(500))
}

/// Guards against a limit that binds although no target has a queue.
#[test]
fn no_query_waits_while_targets_have_no_queue() {
    let mut admission = QueryAdmission::default();
    let start = Instant::now();
    for id in 0..2000 {
        let now = start + ms(id * 5);
        assert_eq!(admission.offer(now, arrival(now, id, 1)), QueryVerdict::Start, "query {id}");
        if id >= 10 {
            end(&mut admission, now, now - ms(50), 0.0);
        }
    }
}

/// Guards against a higher priority that waits behind a lower one, and against a lower one that never starts.
#[test]
fn the_highest_priority_starts_first_and_the_lowest_keeps_a_share() {
    let (mut admission, mut now) = congested();
    let (mut waiting, mut started) = (Vec::new(), [0; 3]);
    let mut running = std::collections::VecDeque::new();
    for id in 100..4100 {
        now += ms(2);
        let priority = (id % 3) as u32;
        match admission.offer(now, arrival(now, id, priority)) {
            QueryVerdict::Start => {
                started[priority as usize] += 1;
                running.push_back(now);
            }
            QueryVerdict::Wait(until) => waiting.push((id, until)),
            QueryVerdict::Refuse(_) => {}
        }
        if running.front().is_some_and(|began_at| now >= *began_at + ms(60)) {
            let began_at = running.pop_front().unwrap();
            end(&mut admission, now, began_at, 0.75);
        }
        for id in admission.start_queued(now) {
            started[(id % 3) as usize] += 1;
            running.push_back(now);
        }
        waiting.retain(|(id, until)| now <= *until || admission.expire(now, *id).is_none());
    }
    let [highest, middle, lowest] = started;
    assert!(highest > middle && highest > lowest, "{started:?}");
    assert!(lowest * 8 >= highest, "the lowest priority starves: {started:?}");
}

/// Guards against callers that are told to return together, and against precedence for those that return early.
#[test]
fn refused_callers_return_one_after_the_other_and_only_as_told() {
    let now = Instant::now();
    let mut promises = ReturnPromises::default();
    let patience = ms(800);
    let told: Vec<Duration> = (0..50).map(|_| promises.promise(now, now, now, 100.0, patience)).collect();
    let kept: Vec<Duration> = told.iter().copied().filter(|told| *told <= patience).collect();
    assert!((6..=9).contains(&kept.len()), "{kept:?}");
    assert!(kept.windows(2).all(|pair| pair[1] >= pair[0] + ms(90)), "{kept:?}");
    assert!(told[20..].iter().all(|told| *told > ms(2500)), "promised what cannot be kept: {told:?}");
    // The first was told 50 ms, the second 100 ms later.
    assert_eq!(promises.redeem(now + ms(15), ms(15), now), ReturnState::New);
    assert_eq!(promises.redeem(now + ms(450), ms(200), now + ms(250)), ReturnState::Unpromised);
    for told in kept {
        assert_eq!(promises.redeem(now + told, told, now), ReturnState::AsTold, "{told:?}");
    }
    assert_eq!(promises.redeem(now + ms(50), ms(50), now), ReturnState::Unpromised, "redeemed twice");
}

/// Guards against promises of a return within the pause that a limit below one causes, and against refusals of queries
/// that can wait for its end.
#[test]
fn a_query_during_a_pause_waits_for_its_end_or_is_told_to_return_after_it() {
    let mut admission = QueryAdmission::default();
    let mut now = Instant::now();
    for id in 0..20 {
        assert_eq!(admission.offer(now, arrival(now, id, 1)), QueryVerdict::Start, "query {id}");
        now += ms(60);
        end(&mut admission, now, now - ms(60), 6.0);
        now += ms(500);
    }
    assert_eq!(admission.load().0, 0.25);
    assert_eq!(admission.offer(now, arrival(now, 20, 1)), QueryVerdict::Start);
    now += ms(60);
    end(&mut admission, now, now - ms(60), 6.0);
    // At a limit of 0.25, a pause of three durations follows each query.
    let pause = ms(180);
    let QueryVerdict::Refuse(after) = admission.offer(now, arrival(now, 21, 1)) else {
        panic!("a pause of {pause:?} is too long to wait");
    };
    assert!(after >= pause, "told {after:?} within a pause of {pause:?}");
    let late = now + pause - ms(20);
    assert!(matches!(admission.offer(late, arrival(late, 22, 1)), QueryVerdict::Wait(_)));
    assert_eq!(admission.start_queued(now + pause), [22]);
}

/// Guards against slow replicas that look like an overload: fewer queries would not shorten their queues.
#[test]
fn long_queues_at_a_third_of_the_targets_are_no_congestion() {
    let mut queues = vec![0.0; 60];
    queues.extend([6.0; 30]);
    assert_eq!(common_queue(&queues), Some(0.0));
    assert_eq!(common_queue(&[]), None);
    assert_eq!(common_queue(&[1.5; 90]), Some(1.5));
}

/// Guards against goodput that falls as demand grows.
#[test]
fn goodput_holds_at_up_to_twenty_times_the_capacity() {
    let best = Load::new(Pool::default(), 6).play(&[Demand { times: 0.9, for_s: 20 }]).goodput(4, 20);
    for times in [1.0, 2.0, 4.0, 8.0, 20.0] {
        for hosts in [2, 6, 40] {
            let played = Load::new(Pool::default(), hosts).play(&[Demand { times, for_s: 20 }]);
            let goodput = played.goodput(4, 20);
            assert!(goodput > 0.8 * best, "{times} times, {hosts} hosts: {goodput:.0} of {best:.0} a second");
        }
    }
}

/// Guards against goodput that falls where a part of the capacity is lost, too.
#[test]
fn goodput_holds_with_a_third_of_the_targets_slow() {
    let pool = Pool { slow_servers: 2, ..Pool::default() };
    let best = Load::new(pool, 6).play(&[Demand { times: 0.6, for_s: 20 }]).goodput(4, 20);
    for times in [2.0, 8.0] {
        let goodput = Load::new(pool, 6).play(&[Demand { times, for_s: 20 }]).goodput(4, 20);
        assert!(goodput > 0.7 * best, "{times} times: {goodput:.0} of {best:.0} a second");
    }
}

/// Guards against a host that gets the starts of the others because it sends more, and against one that gets none.
#[test]
fn a_sender_with_ten_times_the_demand_leaves_the_others_their_share() {
    // At three times the capacity the others ask for 1.07 times an equal share of it.
    for times in [3.0, 8.0, 20.0] {
        for hosts in [1, 2, 6] {
            let load = Load::new(Pool::default(), hosts).with_senders(&[10.0, 1.0, 1.0, 1.0, 1.0]);
            let played = load.play(&[Demand { times, for_s: 20 }]);
            let (in_time, started) = (played.in_time_by_sender, played.started_by_sender);
            let equal = in_time.iter().sum::<u64>() as f64 / in_time.len() as f64;
            let least = *in_time[1..].iter().min().unwrap() as f64;
            assert!(least > 0.8 * equal, "{times} times, {hosts} hosts: {in_time:?} in time");
            // Its callers were refused more often, and come back too late to be in time.
            let equal = started.iter().sum::<u64>() as f64 / started.len() as f64;
            assert!(started[0] as f64 > 0.8 * equal, "{times} times, {hosts} hosts: {started:?} started");
        }
    }
}

/// Guards against capacity that is left unused because some of many equal senders had more starts for a moment.
#[test]
fn goodput_does_not_depend_on_the_number_of_senders() {
    for times in [1.0, 2.0] {
        for hosts in [2, 6] {
            let goodput = |senders| {
                let load = Load::new(Pool::default(), hosts).with_senders(&vec![1.0; senders]);
                load.play(&[Demand { times, for_s: 20 }]).goodput(4, 20)
            };
            let one = goodput(1);
            for senders in [3, 35] {
                let many = goodput(senders);
                assert!(
                    many > 0.95 * one,
                    "{times} times, {hosts} hosts, {senders} senders: {many:.0} of {one:.0}"
                );
            }
        }
    }
}

/// Guards against an overload that keeps itself up: refused callers that return, limits that stay low.
#[test]
fn all_are_served_soon_after_the_load_drops() {
    let demand = [Demand { times: 20.0, for_s: 8 }, Demand { times: 0.5, for_s: 8 }];
    let played = Load::new(Pool::default(), 6).play(&demand);
    let (asked, in_time) = played.between(11, 16);
    assert!(in_time as f64 > 0.97 * asked as f64, "{in_time} of {asked}");
}

quickcheck! {
    /// Guards against queries that are forgotten in the queue, and against a count that drifts.
    fn every_query_starts_or_is_refused(steps: Vec<(u8, u8)>) -> bool {
        let (mut admission, mut now) = congested();
        let (mut in_flight, mut waiting) = (0, Vec::new());
        for (id, (step, priority)) in steps.into_iter().enumerate() {
            now += ms(u64::from(step % 40));
            match admission.offer(now, arrival(now, id as u64 + 100, u32::from(priority % 3))) {
                QueryVerdict::Start => in_flight += 1,
                QueryVerdict::Wait(_) => waiting.push(id as u64 + 100),
                QueryVerdict::Refuse(after) => assert!(after >= ms(50)),
            }
            if step % 2 == 0 && in_flight > 0 {
                in_flight -= 1;
                end(&mut admission, now, now - ms(50), f64::from(step % 5));
            }
            for id in admission.start_queued(now) {
                in_flight += 1;
                waiting.retain(|waiting| *waiting != id);
            }
        }
        now += ms(100);
        let expired = waiting.iter().filter(|id| admission.expire(now, **id).is_some()).count();
        let (_, counted, queued) = admission.load();
        expired == waiting.len() && counted == in_flight && queued == 0
    }
}
