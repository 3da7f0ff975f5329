//! Several hosts that admit queries over one index, whose most loaded shard is a pool of slots with one queue.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use egret_policy::{QueryAdmission, QueryArrival, QueryEnd, QueryVerdict};

/// The latency objective of the queries.
const OBJECTIVE_MS: u64 = 200;
/// The time budget of their callers, who return once after a refusal.
const BUDGET_MS: u64 = 2500;
/// What a query takes besides its slowest part: hops, and the wait for stragglers.
const OVERHEAD_MS: u64 = 30;
/// The work of a part at a slot.
const SERVICE_MS: u64 = 20;
/// How much slower the slow slots are.
const SLOW_FACTOR: u64 = 8;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The slots of the most loaded shard.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    pub servers: usize,
    /// How many of them are slow.
    pub slow_servers: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self { servers: 6, slow_servers: 0 }
    }
}

/// A demand, as a multiple of what all slots complete while none is slow.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub times: f64,
    pub for_s: u64,
}

#[derive(Clone, Copy, Debug)]
struct Query {
    host: usize,
    /// The index of its sender in the demand shares.
    sender: usize,
    id: u64,
    asked_ms: u64,
    arrived_ms: u64,
    budget_ms: u64,
    began_ms: u64,
}

/// What callers got, by the second in which they first asked.
#[derive(Debug, Default)]
pub struct Played {
    asked: Vec<u64>,
    in_time: Vec<u64>,
    /// The queries answered in time, by sender.
    pub in_time_by_sender: Vec<u64>,
    /// The queries that started, by sender.
    pub started_by_sender: Vec<u64>,
}

impl Played {
    /// Returns the queries that were asked and those answered in time, of these seconds.
    pub fn between(&self, from_s: usize, to_s: usize) -> (u64, u64) {
        (self.asked[from_s..to_s].iter().sum(), self.in_time[from_s..to_s].iter().sum())
    }

    /// Returns the queries per second that were answered in time.
    pub fn goodput(&self, from_s: usize, to_s: usize) -> f64 {
        self.between(from_s, to_s).1 as f64 / (to_s - from_s) as f64
    }
}

/// Hosts, their queries, and the pool.
pub struct Load {
    start: Instant,
    pool: Pool,
    hosts: Vec<QueryAdmission>,
    /// The share of the demand of each sender.
    senders: Vec<f64>,
    rng: fastrand::Rng,
    queries: Vec<Query>,
    /// Queries that wait for a slot of the pool.
    queued: VecDeque<usize>,
    /// The ends of the parts that run, with the slot of each.
    running: BinaryHeap<Reverse<(u64, usize, usize)>>,
    free_slots: Vec<usize>,
    /// Queries that wait in the queues of their hosts, until when.
    waiting: Vec<(usize, Instant)>,
    /// When refused callers return.
    returning: BinaryHeap<Reverse<(u64, usize)>>,
    played: Played,
}

impl Load {
    pub fn new(pool: Pool, hosts: usize) -> Self {
        Self {
            start: Instant::now(),
            pool,
            hosts: vec![QueryAdmission::default(); hosts],
            senders: vec![1.0],
            rng: fastrand::Rng::with_seed(7),
            queries: Vec::new(),
            queued: VecDeque::new(),
            running: BinaryHeap::new(),
            free_slots: (0..pool.servers).collect(),
            waiting: Vec::new(),
            returning: BinaryHeap::new(),
            played: Played::default(),
        }
    }

    /// Divides the demand among senders, by weights.
    pub fn with_senders(mut self, weights: &[f64]) -> Self {
        let sum: f64 = weights.iter().sum();
        self.senders = weights.iter().map(|weight| weight / sum).collect();
        self.played.in_time_by_sender = vec![0; weights.len()];
        self.played.started_by_sender = vec![0; weights.len()];
        self
    }

    /// Plays the demands one after the other.
    pub fn play(mut self, demands: &[Demand]) -> Played {
        let capacity_per_ms = self.pool.servers as f64 / SERVICE_MS as f64;
        let mut now_ms = 0;
        for demand in demands {
            for _ in 0..demand.for_s * 1000 {
                let expected = demand.times * capacity_per_ms;
                let count = expected as u64 + u64::from(self.rng.f64() < expected.fract());
                (0..count).for_each(|_| self.ask(now_ms));
                self.step(now_ms);
                now_ms += 1;
            }
        }
        self.played
    }

    fn at(&self, at_ms: u64) -> Instant {
        self.start + ms(at_ms)
    }

    fn ask(&mut self, now_ms: u64) {
        let second = (now_ms / 1000) as usize;
        self.played.asked.resize(second + 1, 0);
        self.played.in_time.resize(second + 1, 0);
        self.played.asked[second] += 1;
        let sender = self.draw_sender();
        self.offer(now_ms, now_ms, BUDGET_MS, sender);
    }

    fn draw_sender(&mut self) -> usize {
        let last = self.senders.len() - 1;
        let mut drawn = if last == 0 { 0.0 } else { self.rng.f64() };
        self.senders[..last]
            .iter()
            .take_while(|share| {
                drawn -= **share;
                drawn >= 0.0
            })
            .count()
    }

    fn offer(&mut self, now_ms: u64, asked_ms: u64, budget_ms: u64, sender: usize) {
        let at = self.queries.len();
        let host = self.rng.usize(..self.hosts.len());
        let query =
            Query { host, sender, id: at as u64, asked_ms, arrived_ms: now_ms, budget_ms, began_ms: 0 };
        self.queries.push(query);
        let now = self.at(now_ms);
        let arrival = QueryArrival {
            id: query.id,
            priority: 1,
            objective: ms(OBJECTIVE_MS),
            sender: IpAddr::V4(Ipv4Addr::from(sender as u32)),
            arrived_at: now,
            due_at: now + ms(OBJECTIVE_MS),
            budget: ms(budget_ms),
            must_start: false,
        };
        match self.hosts[host].offer(now, arrival) {
            QueryVerdict::Start => self.begin(now_ms, at),
            QueryVerdict::Wait(until) => self.waiting.push((at, until)),
            QueryVerdict::Refuse(after) => self.refuse(now_ms, at, after),
        }
    }

    fn begin(&mut self, now_ms: u64, at: usize) {
        self.queries[at].began_ms = now_ms;
        if let Some(started) = self.played.started_by_sender.get_mut(self.queries[at].sender) {
            *started += 1;
        }
        self.queued.push_back(at);
    }

    /// A caller returns once, after a third of its time at the latest.
    fn refuse(&mut self, now_ms: u64, at: usize, after: Duration) {
        if self.queries[at].budget_ms == BUDGET_MS {
            let wait_ms = (after.as_millis() as u64).min(BUDGET_MS / 3);
            self.returning.push(Reverse((now_ms + wait_ms, at)));
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        while self.returning.peek().is_some_and(|Reverse((at_ms, _))| *at_ms <= now_ms) {
            let Reverse((_, at)) = self.returning.pop().unwrap();
            let Query { asked_ms, sender, .. } = self.queries[at];
            self.offer(now_ms, asked_ms, BUDGET_MS - (now_ms - asked_ms), sender);
        }
        while self.running.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= now_ms) {
            let Reverse((_, slot, at)) = self.running.pop().unwrap();
            self.free_slots.push(slot);
            self.end(now_ms, at);
        }
        for host in 0..self.hosts.len() {
            for id in self.hosts[host].start_queued(now) {
                self.waiting.retain(|(at, _)| *at as u64 != id);
                self.begin(now_ms, id as usize);
            }
        }
        let expired: Vec<usize> =
            self.waiting.iter().filter(|(_, until)| now > *until).map(|(at, _)| *at).collect();
        self.waiting.retain(|(_, until)| now <= *until);
        for at in expired {
            let after = self.hosts[self.queries[at].host].expire(now, at as u64);
            after.into_iter().for_each(|after| self.refuse(now_ms, at, after));
        }
        while let Some(slot) = (!self.queued.is_empty()).then(|| self.free_slots.pop()).flatten() {
            let at = self.queued.pop_front().unwrap();
            let factor = if slot < self.pool.slow_servers { SLOW_FACTOR } else { 1 };
            let service_ms = factor * (SERVICE_MS / 2 + self.rng.u64(0..=SERVICE_MS));
            self.running.push(Reverse((now_ms + service_ms, slot, at)));
        }
    }

    fn end(&mut self, now_ms: u64, at: usize) {
        let query = self.queries[at];
        let done_ms = now_ms + OVERHEAD_MS;
        if query.budget_ms == BUDGET_MS && done_ms <= query.arrived_ms + OBJECTIVE_MS {
            self.played.in_time[(query.asked_ms / 1000) as usize] += 1;
            if let Some(in_time) = self.played.in_time_by_sender.get_mut(query.sender) {
                *in_time += 1;
            }
        }
        let end = QueryEnd {
            priority: 1,
            objective: ms(OBJECTIVE_MS),
            began_at: self.at(query.began_ms),
            queued_per_slot: Some(self.queued.len() as f64 / self.pool.servers as f64),
            service_time: ms(SERVICE_MS),
            host_delay: Duration::ZERO,
        };
        let now = self.at(now_ms);
        self.hosts[query.host].end(now, Some(end));
    }
}
