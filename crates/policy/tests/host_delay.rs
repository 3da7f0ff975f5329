//! Admission on a host that is short of processor time while targets report no queues.

use std::{
    collections::VecDeque,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use egret_policy::{QueryAdmission, QueryArrival, QueryEnd, QueryVerdict, WakeDelay};
use quickcheck::quickcheck;

const OBJECTIVE: Duration = Duration::from_millis(40);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(now: Instant, id: u64) -> QueryArrival {
    QueryArrival {
        id,
        priority: 0,
        objective: OBJECTIVE,
        sender: IpAddr::V4(Ipv4Addr::LOCALHOST),
        arrived_at: now,
        due_at: now + OBJECTIVE,
        budget: ms(250),
        must_start: false,
    }
}

fn end(admission: &mut QueryAdmission, now: Instant, began_at: Instant, host_delay: Duration) {
    let (queued_per_slot, service_time) = (Some(0.0), ms(3));
    let end =
        QueryEnd { priority: 0, objective: OBJECTIVE, began_at, queued_per_slot, service_time, host_delay };
    admission.end(now, Some(end));
}

/// A host that works on the queries in flight in turns.
struct Host {
    /// How long it works on one query before it continues the next.
    turn_ms: u64,
    admission: QueryAdmission,
    now: Instant,
    next_id: u64,
    /// The queries in flight: when each arrived and began, the work that is left in milliseconds, and its delay.
    running: VecDeque<(Instant, Instant, u64, WakeDelay)>,
    waiting: Vec<(u64, Instant, Instant)>,
    asked: u64,
    in_time: u64,
}

impl Host {
    fn new(turn_ms: u64) -> Self {
        Self {
            turn_ms,
            admission: QueryAdmission::default(),
            now: Instant::now(),
            next_id: 0,
            running: VecDeque::new(),
            waiting: Vec::new(),
            asked: 0,
            in_time: 0,
        }
    }

    /// Offers a query every `every_ms`, each of which takes `work_ms` of the host, for `for_ms`.
    fn play(&mut self, for_ms: u64, every_ms: u64, work_ms: u64) {
        let mut turn_ms = 0;
        for at_ms in 0..for_ms {
            self.now += ms(1);
            if at_ms % every_ms == 0 {
                self.offer(work_ms);
            }
            for id in self.admission.start_queued(self.now) {
                let at = self.waiting.iter().position(|(waiting, ..)| *waiting == id).unwrap();
                let (_, arrived_at, _) = self.waiting.swap_remove(at);
                let wake_delay = WakeDelay::start(self.now, OBJECTIVE);
                self.running.push_back((arrived_at, self.now, work_ms, wake_delay));
            }
            let (now, admission) = (self.now, &mut self.admission);
            self.waiting.retain(|(id, _, until)| now <= *until || admission.expire(now, *id).is_none());
            self.work(&mut turn_ms);
        }
    }

    fn offer(&mut self, work_ms: u64) {
        let (now, id) = (self.now, self.next_id);
        self.next_id += 1;
        self.asked += 1;
        match self.admission.offer(now, arrival(now, id)) {
            QueryVerdict::Start => {
                self.running.push_back((now, now, work_ms, WakeDelay::start(now, OBJECTIVE)));
            }
            QueryVerdict::Wait(until) => self.waiting.push((id, now, until)),
            QueryVerdict::Refuse(_) => {}
        }
    }

    /// Works for a millisecond.
    fn work(&mut self, turn_ms: &mut u64) {
        let Some(query) = self.running.front_mut() else { return };
        query.2 -= query.2.min(1);
        query.3.record(self.now, true);
        *turn_ms += 1;
        if query.2 == 0 {
            let (arrived_at, began_at, _, wake_delay) = self.running.pop_front().unwrap();
            self.in_time += u64::from(self.now <= arrived_at + OBJECTIVE);
            end(&mut self.admission, self.now, began_at, wake_delay.total());
            *turn_ms = 0;
        } else if *turn_ms == self.turn_ms {
            self.running.rotate_left(1);
            *turn_ms = 0;
        }
    }

    fn limit(&self) -> f64 {
        self.admission.load().0
    }
}

/// Guards against a host that starts more gathers than it has processor time for because targets have no queues, and
/// against a limit that stays low once it has enough.
#[test]
fn a_late_host_lowers_its_limit_and_recovers_when_it_is_on_time() {
    // A host that works on one query to its end, and one that changes between them.
    for turn_ms in [14, 5] {
        let mut host = Host::new(turn_ms);
        host.play(2000, 4, 14);
        assert!(host.limit() < 6.0, "limit {}", host.limit());
        (host.asked, host.in_time) = (0, 0);
        host.play(5000, 4, 14);
        // The host has time for 357 of the 1,250 queries.
        assert!(host.in_time > 240, "{} of {} in time", host.in_time, host.asked);
        host.play(1000, 4, 1);
        (host.asked, host.in_time) = (0, 0);
        host.play(1000, 4, 1);
        assert_eq!(host.in_time, host.asked, "refused although the host is on time");
    }
}

/// Guards against pauses and refusals on an idle host whose queries take longer than their objective.
#[test]
fn an_idle_host_starts_a_query_that_will_be_late() {
    let mut host = Host::new(5);
    host.play(4000, 20, 100);
    assert!(host.limit() >= 1.0, "limit {}", host.limit());
    (host.asked, host.in_time) = (0, 0);
    host.play(300, 400, 100);
    while let Some((_, began_at, ..)) = host.running.pop_front() {
        end(&mut host.admission, host.now, began_at, ms(200));
    }
    for _ in 0..20 {
        let began_at = host.now;
        host.next_id += 1;
        let verdict = host.admission.offer(host.now, arrival(host.now, host.next_id));
        assert_eq!(verdict, QueryVerdict::Start);
        host.now += ms(100);
        end(&mut host.admission, host.now, began_at, ms(60));
    }
}

/// Guards against a limit that falls because of the work of a gather that runs alone.
#[test]
fn a_lone_query_does_not_lower_the_limit() {
    let mut admission = QueryAdmission::default();
    let mut now = Instant::now();
    for id in 0..50 {
        assert_eq!(admission.offer(now, arrival(now, id)), QueryVerdict::Start);
        let began_at = now;
        now += ms(90);
        end(&mut admission, now, began_at, ms(60));
    }
    assert!(admission.load().0 >= 16.0, "{:?}", admission.load());
}

/// Guards against a measure that counts a host as late that wakes a gather when it is due, and against one that misses
/// a delay.
#[test]
fn only_wake_ups_after_the_due_time_are_delays() {
    let start = Instant::now();
    let mut wake_delay = WakeDelay::start(start, ms(40));
    (1..100).for_each(|at| wake_delay.record(start + ms(at), true));
    assert_eq!(wake_delay.total(), Duration::ZERO);
    wake_delay.record(wake_delay.due_at() + ms(7), false);
    wake_delay.record(wake_delay.due_at() + ms(6), false);
    assert_eq!(wake_delay.total(), ms(7));
    wake_delay.record(wake_delay.due_at() + ms(6), true);
    wake_delay.record(wake_delay.due_at() + ms(5), true);
    assert_eq!(wake_delay.total(), ms(11));
}

quickcheck! {
    /// Guards against a host that stops to start queries, or pauses, because it was late.
    fn lateness_alone_never_takes_the_limit_below_one(delays: Vec<(u8, u8)>) -> bool {
        let mut admission = QueryAdmission::default();
        let mut now = Instant::now();
        let mut running = VecDeque::new();
        for (id, (delay, step)) in delays.into_iter().enumerate() {
            now += ms(u64::from(step % 30));
            if admission.offer(now, arrival(now, id as u64)) == QueryVerdict::Start {
                running.push_back(now);
            }
            if running.len() > usize::from(step % 8) {
                let began_at = running.pop_front().unwrap();
                end(&mut admission, now, began_at, ms(u64::from(delay)));
            }
        }
        running.drain(..).for_each(|began_at| end(&mut admission, now, began_at, ms(200)));
        admission.load().0 >= 1.0
            && admission.paused_until(now).is_none()
            && (admission.load().2 > 0 || admission.offer(now, arrival(now, u64::MAX)) == QueryVerdict::Start)
    }
}
