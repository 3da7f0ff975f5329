//! A simulation of several hosts that send requests to the targets of one service, without a network.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use egret_policy::{
    ExchangeEnd, LoadReport, PlacementRequest, PlacementTarget, PooledLoad, RequestCosts, RequestShape,
    TargetBacklog, TargetLoad, refusal,
};
use fastrand::Rng;

/// How a host chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The target with the earliest expected completion.
    EarliestCompletion,
    /// The same, and requests that cannot be in time are refused.
    EarliestCompletionWithRefusals,
    /// The earlier one of two random targets.
    TwoChoices,
    /// The fewest requests by own exchanges and the last report (`TargetLoad`, the choice for parts).
    LeastRequests,
}

/// One deployment and its load.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub hosts: usize,
    pub targets: usize,
    pub slots: usize,
    pub queue: usize,
    pub mean_ms: f64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// The arrivals, as a multiple of the capacity.
    pub load: f64,
    /// How many of the targets are 2.5 times as slow.
    pub slow_targets: usize,
    pub requests: usize,
}

/// What became of the requests, as shares of all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    /// The share of cheap requests in time.
    pub cheap_in_time: f64,
    pub mean_ms: f64,
    pub p99_ms: f64,
    /// Requests that a target refused, per request.
    pub shed: f64,
}

/// The attempts at a request, the first one included.
const ATTEMPTS_MAX: usize = 3;
/// Every fifth request is expensive; the mean of all is `Setting::mean_ms`.
const CHEAP_COST: f64 = 0.5;
const EXPENSIVE_COST: f64 = 3.0;
const EXPENSIVE_SHARE: f64 = 0.2;
const SLOW_FACTOR: f64 = 2.5;
/// The time that a message takes.
const NETWORK: Duration = Duration::from_micros(700);

#[derive(Clone, Debug)]
struct Request {
    host: usize,
    arrived: Instant,
    work: Duration,
    is_expensive: bool,
    path: String,
    tried: Vec<usize>,
    sent: Instant,
    cost: Duration,
    wait: Duration,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    AtTarget(usize),
    Finish(usize),
    Answered(usize, u32),
    Shed(usize, u32),
}

struct Target {
    running: usize,
    queue: VecDeque<usize>,
    slowness: f64,
}

struct Host {
    costs: RequestCosts,
    backlogs: Vec<TargetBacklog>,
    loads: Vec<TargetLoad>,
}

struct Simulation {
    setting: Setting,
    policy: Policy,
    now: Instant,
    rng: Rng,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    event_count: usize,
    requests: Vec<Request>,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    latencies: Vec<Duration>,
    outcome: Outcome,
}

/// Runs a setting under a policy.
pub fn run(setting: Setting, policy: Policy, seed: u64) -> Outcome {
    let slots = setting.slots as u32;
    let host = || Host {
        costs: RequestCosts::default(),
        backlogs: vec![TargetBacklog::new(slots); setting.targets],
        loads: vec![TargetLoad::new(slots); setting.targets],
    };
    let target = |at| Target {
        running: 0,
        queue: VecDeque::new(),
        slowness: if at < setting.slow_targets { SLOW_FACTOR } else { 1.0 },
    };
    let mut simulation = Simulation {
        setting,
        policy,
        now: Instant::now(),
        rng: Rng::with_seed(seed),
        events: BinaryHeap::new(),
        event_count: 0,
        requests: Vec::new(),
        hosts: (0..setting.hosts).map(|_| host()).collect(),
        targets: (0..setting.targets).map(target).collect(),
        latencies: Vec::new(),
        outcome: Outcome::default(),
    };
    simulation.draw_requests();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

impl Simulation {
    fn draw_requests(&mut self) {
        let Setting { targets, slots, mean_ms, load, requests, hosts, .. } = self.setting;
        let per_ms = load * (targets * slots) as f64 / mean_ms;
        let mut at = self.now;
        for id in 0..requests {
            at += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / per_ms / 1000.0);
            let is_expensive = self.rng.f64() < EXPENSIVE_SHARE;
            let mean = mean_ms * if is_expensive { EXPENSIVE_COST } else { CHEAP_COST };
            // The sum of four exponential times: the standard deviation is half of the mean.
            let four: f64 = (0..4).map(|_| -(1.0 - self.rng.f64()).ln()).sum();
            let kind = if is_expensive { "survey" } else { "glance" };
            self.requests.push(Request {
                host: self.rng.usize(0..hosts),
                arrived: at,
                work: Duration::from_secs_f64(mean * four / 4.0 / 1000.0),
                is_expensive,
                path: format!("/stations/{kind}/{}", self.rng.u32(0..500)),
                tried: Vec::new(),
                sent: at,
                cost: Duration::ZERO,
                wait: Duration::ZERO,
            });
            self.schedule(at, Event::Arrive(id));
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.send(id),
            Event::AtTarget(id) => self.reach_target(id),
            Event::Finish(id) => {
                let at = *self.requests[id].tried.last().expect("it was sent");
                self.targets[at].running -= 1;
                if let Some(next) = self.targets[at].queue.pop_front() {
                    self.start(at, next);
                }
                self.schedule(self.now + NETWORK, Event::Answered(id, self.pending(at)));
            }
            Event::Answered(id, pending) => self.end(id, pending, ExchangeEnd::Answered),
            Event::Shed(id, pending) => {
                self.outcome.shed += 1.0;
                self.end(id, pending, ExchangeEnd::Shed);
                self.send(id);
            }
        }
    }

    fn pending(&self, at: usize) -> u32 {
        (self.targets[at].running + self.targets[at].queue.len()) as u32
    }

    fn start(&mut self, at: usize, id: usize) {
        self.targets[at].running += 1;
        let work = self.requests[id].work.mul_f64(self.targets[at].slowness);
        self.schedule(self.now + work, Event::Finish(id));
    }

    fn reach_target(&mut self, id: usize) {
        let at = *self.requests[id].tried.last().expect("it was sent");
        if self.targets[at].running < self.setting.slots {
            self.start(at, id);
        } else if self.targets[at].queue.len() < self.setting.queue {
            self.targets[at].queue.push_back(id);
        } else {
            self.schedule(self.now + NETWORK, Event::Shed(id, self.pending(at)));
        }
    }

    fn mean_cost(&self) -> Duration {
        Duration::from_secs_f64(self.setting.mean_ms / 1000.0)
    }

    fn send(&mut self, id: usize) {
        let now = self.now;
        let typical = self.mean_cost();
        let mut request = self.requests[id].clone();
        let host = &mut self.hosts[request.host];
        let shape = RequestShape { route: "station-file", body_bytes: 0, path: &request.path };
        let cost = host.costs.expected(now, shape, typical);
        let mean_cost = host.costs.mean(now, "station-file", typical);
        let mut pool = PooledLoad::default();
        host.backlogs.iter().for_each(|backlog| pool.add(now, backlog));
        let untried: Vec<usize> =
            (0..self.setting.targets).filter(|at| !request.tried.contains(at)).collect();
        let candidate = |at: usize| {
            let slowness = host.backlogs[at].slowness(now, host.loads[at].slowness(now));
            let wait = host.backlogs[at].expected_wait(now, mean_cost, pool).mul_f64(slowness);
            PlacementTarget {
                wait,
                completion: wait + cost.mul_f64(slowness),
                has_free_slot: host.backlogs[at].has_free_slot(now, mean_cost, pool),
                full_left: host.backlogs[at].full_left(now),
            }
        };
        let score = |at: usize, jitter: f64| {
            let target = candidate(at);
            (!target.full_left.is_zero(), target.completion.mul_f64(1.0 + 0.1 * jitter))
        };
        let drawn: Vec<usize> = match self.policy {
            Policy::TwoChoices => self.rng.choose_multiple(untried.iter().copied(), 2),
            _ => untried,
        };
        let chosen = if self.policy == Policy::LeastRequests {
            let rank = |at: usize| (host.loads[at].is_ejected(now), host.loads[at].cost(now));
            let rng = &mut self.rng;
            let keyed = drawn.into_iter().map(|at| {
                let (is_ejected, cost) = rank(at);
                (at, is_ejected, cost * (1.0 + 0.1 * rng.f64()))
            });
            keyed.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2))).map(|(at, ..)| at)
        } else {
            let rng = &mut self.rng;
            drawn.into_iter().map(|at| (score(at, rng.f64()), at)).min().map(|(_, at)| at)
        };
        let left = |ms: u64| {
            let limit = request.arrived + Duration::from_millis(ms);
            limit.saturating_duration_since(now)
        };
        let asked = PlacementRequest {
            is_cost_known: true,
            mean_cost,
            objective: Duration::from_millis(self.setting.objective_ms),
            until_objective: left(self.setting.objective_ms),
            until_deadline: left(self.setting.deadline_ms),
        };
        let chosen = chosen.filter(|&at| {
            let may_refuse = self.policy == Policy::EarliestCompletionWithRefusals && pool.is_known();
            request.tried.len() < ATTEMPTS_MAX && !(may_refuse && refusal(asked, candidate(at)).is_some())
        });
        let Some(at) = chosen else {
            self.outcome.refused += 1.0;
            return;
        };
        request.wait = candidate(at).wait;
        request.cost = cost;
        request.sent = now;
        request.tried.push(at);
        host.backlogs[at].begin(now, cost, request.wait);
        let typical = if self.policy == Policy::LeastRequests { typical } else { cost };
        host.loads[at].begin(now, typical);
        self.requests[id] = request;
        self.schedule(now + NETWORK, Event::AtTarget(id));
    }

    fn end(&mut self, id: usize, pending: u32, end: ExchangeEnd) {
        let (now, mean_cost) = (self.now, self.mean_cost());
        let request = &self.requests[id];
        let at = *request.tried.last().expect("it was sent");
        let host = &mut self.hosts[request.host];
        host.backlogs[at].report(now, LoadReport { pending, ..LoadReport::default() });
        host.backlogs[at].end(request.sent);
        host.loads[at].report(now, pending, mean_cost);
        host.loads[at].end(now, request.sent, end);
        if end == ExchangeEnd::Shed {
            host.backlogs[at].shed(now, mean_cost);
            return;
        }
        let latency = now.saturating_duration_since(request.sent);
        let shape = RequestShape { route: "station-file", body_bytes: 0, path: &request.path };
        let weight = (1.0 - request.wait.div_duration_f64(latency)).max(0.1);
        host.costs.record(now, shape, latency.saturating_sub(request.wait), weight);
        let whole = now.saturating_duration_since(request.arrived);
        self.latencies.push(whole);
        if whole <= Duration::from_millis(self.setting.objective_ms) {
            self.outcome.in_time += 1.0;
            self.outcome.cheap_in_time += f64::from(u8::from(!request.is_expensive));
        } else {
            self.outcome.late += 1.0;
        }
    }

    fn finish(mut self) -> Outcome {
        let all = self.requests.len() as f64;
        let cheap = self.requests.iter().filter(|request| !request.is_expensive).count() as f64;
        self.latencies.sort_unstable();
        let total: Duration = self.latencies.iter().sum();
        let Outcome { in_time, late, refused, cheap_in_time, shed, .. } = self.outcome;
        Outcome {
            in_time: in_time / all,
            late: late / all,
            refused: refused / all,
            cheap_in_time: cheap_in_time / cheap,
            shed: shed / all,
            mean_ms: total.as_secs_f64() * 1000.0 / self.latencies.len().max(1) as f64,
            p99_ms: self.latencies[self.latencies.len() * 99 / 100].as_secs_f64() * 1000.0,
        }
    }
}
