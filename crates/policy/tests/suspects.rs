//! Requests that crash targets over many hosts: how often they still reach targets, and when they may again.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::Fingerprint;
use egret_policy::{MARK_MEMORY, MARK_TTL, SuspectVerdict, Suspects, suspect_prober};

const BAD: Fingerprint = Fingerprint(7);
/// The most marks in one message between hosts.
const MESSAGE_MARKS: usize = 16;

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Hosts that gossip marks and get requests; time passes in steps of 50 ms.
struct Fleet {
    now: Instant,
    addresses: Vec<SocketAddr>,
    hosts: Vec<Suspects>,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let addresses = (0..count).map(|at| SocketAddr::from(([10, 0, 0, at as u8], 7000))).collect();
        let hosts = vec![Suspects::remembering(MARK_MEMORY); count];
        Self { now: Instant::now(), addresses, hosts, rng: fastrand::Rng::with_seed(5) }
    }

    /// Each host sends its marks to another one about every 0.7 s.
    fn step(&mut self) {
        self.now += Duration::from_millis(50);
        for from in 0..self.hosts.len() {
            if self.rng.u32(..14) == 0 {
                let to = self.rng.usize(..self.hosts.len());
                let marks = self.hosts[from].export_marks(self.now, MESSAGE_MARKS);
                // The message takes a while.
                marks.into_iter().for_each(|mark| self.hosts[to].merge_mark(self.now + secs(0.01), mark));
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn judge(&mut self, host: usize) -> SuspectVerdict {
        let is_prober = suspect_prober(BAD, &self.addresses) == Some(self.addresses[host]);
        self.hosts[host].judge(self.now, BAD, || is_prober)
    }

    /// A request arrives at a random host; returns whether it reaches a target, which it crashes if it is `bad`.
    fn arrive(&mut self, bad: bool) -> bool {
        let host = self.rng.usize(..self.hosts.len());
        let verdict = self.judge(host);
        if verdict == SuspectVerdict::Refuse {
            return false;
        }
        if bad {
            self.hosts[host].record_break(self.now, BAD, true);
        } else if verdict == SuspectVerdict::Probe {
            self.hosts[host].absolve(self.now, BAD);
        }
        true
    }

    /// Lets the request arrive each `interval` for `time`; returns when it reached targets, since the start.
    fn arrivals(&mut self, interval: Duration, time: Duration, bad: bool) -> Vec<Duration> {
        let began_at = self.now;
        let mut reached = Vec::new();
        while self.now < began_at + time {
            if self.arrive(bad) {
                reached.push(self.now - began_at);
            }
            self.pass(interval);
        }
        reached
    }
}

/// The fault: marks expired a minute after the last crash, while the request kept coming, at all hosts together.
#[test]
fn a_crashing_request_that_keeps_coming_stays_refused() {
    let mut fleet = Fleet::new(10);
    let reached = fleet.arrivals(secs(0.15), secs(600.0), true);
    let late = reached.iter().filter(|at| **at > reached[2] + secs(5.0)).count();
    assert!(reached.len() > 2 && late == 0, "{reached:?}");
}

/// The mark ends between two arrivals each time; each probe may crash one target.
#[test]
fn a_crashing_request_that_comes_rarely_reaches_at_most_three_targets_after_the_first_crashes() {
    let mut fleet = Fleet::new(10);
    fleet.arrivals(secs(0.15), secs(10.0), true);
    let reached = fleet.arrivals(MARK_TTL + secs(10.0), secs(12.0 * 3600.0), true);
    assert!(reached.len() <= 3, "{reached:?}");
    assert!(!reached.is_empty(), "the end of the mark is never probed");
}

#[test]
fn at_the_end_of_a_mark_one_host_probes_and_the_others_learn_the_result() {
    let mut fleet = Fleet::new(10);
    fleet.arrivals(secs(0.15), secs(10.0), true);
    fleet.pass(MARK_TTL + secs(30.0));
    let verdicts: Vec<SuspectVerdict> = (0..10).map(|host| fleet.judge(host)).collect();
    let probes = verdicts.iter().filter(|verdict| **verdict == SuspectVerdict::Probe).count();
    assert_eq!(probes, 1, "{verdicts:?}");
    assert!(!verdicts.contains(&SuspectVerdict::Run), "{verdicts:?}");
    let prober = verdicts.iter().position(|verdict| *verdict == SuspectVerdict::Probe).unwrap();
    // Its result is not known yet.
    assert!((0..10).all(|host| fleet.judge(host) == SuspectVerdict::Refuse));

    let mut absolved = fleet.hosts[prober].clone();
    absolved.absolve(fleet.now, BAD);
    let crashed = std::mem::replace(&mut fleet.hosts[prober], absolved);
    fleet.pass(secs(20.0));
    let verdicts: Vec<SuspectVerdict> = (0..10).map(|host| fleet.judge(host)).collect();
    assert_eq!(verdicts, vec![SuspectVerdict::Run; 10], "a target answered the probe");

    fleet.hosts[prober] = crashed;
    fleet.hosts[prober].record_break(fleet.now, BAD, true);
    assert_eq!(fleet.judge(prober), SuspectVerdict::Refuse, "the probe crashed its target");
}

#[test]
fn a_request_that_crashes_targets_again_after_a_successful_probe_is_refused_again() {
    let mut fleet = Fleet::new(4);
    fleet.arrivals(secs(0.15), secs(10.0), true);
    fleet.pass(MARK_TTL + secs(30.0));
    let served = fleet.arrivals(secs(0.5), secs(60.0), false);
    assert!(served.len() > 50, "{served:?}");
    let reached = fleet.arrivals(secs(0.15), secs(120.0), true);
    let late = reached.iter().filter(|at| **at > reached[2] + secs(5.0)).count();
    assert!(reached.len() > 2 && late == 0, "{reached:?}");
}

#[test]
fn a_mark_whose_request_no_longer_arrives_ends_at_all_hosts_although_they_gossip_it() {
    let mut fleet = Fleet::new(10);
    fleet.arrivals(secs(0.15), secs(60.0), true);
    fleet.pass(MARK_TTL + secs(5.0));
    let marks = fleet.hosts.iter_mut().map(|host| host.export_marks(fleet.now, MESSAGE_MARKS).len());
    assert_eq!(marks.sum::<usize>(), 0);
    fleet.now += MARK_MEMORY;
    assert_eq!(fleet.judge(0), SuspectVerdict::Run, "it is forgotten in the end");
}

/// The request of the test comes last and is refused all the time; thousands of others were marked before and expire.
#[test]
fn thousands_of_marks_take_bounded_memory_and_evict_those_that_ended_first() {
    let mut suspects = Suspects::remembering(MARK_MEMORY);
    let mut now = Instant::now();
    for id in 1000..1100 {
        suspects.record_break(now, Fingerprint(id), true);
        suspects.record_break(now, Fingerprint(id), true);
    }
    now += MARK_TTL + secs(1.0);
    for id in 2000..2000 + 4090 {
        suspects.record_break(now, Fingerprint(id), true);
        suspects.record_break(now, Fingerprint(id), true);
    }
    let refused = |suspects: &mut Suspects, ids: std::ops::Range<u64>| {
        ids.filter(|id| suspects.judge(now, Fingerprint(*id), || false) == SuspectVerdict::Refuse).count()
    };
    assert_eq!(refused(&mut suspects, 2000..6090), 4090, "marks that are in force stay");
    assert_eq!(refused(&mut suspects, 1000..1100), 6, "of those that ended, the table keeps what fits");
}

#[test]
fn more_marks_than_fit_into_a_message_take_turns() {
    let mut suspects = Suspects::remembering(MARK_MEMORY);
    let now = Instant::now();
    (0..100).for_each(|id| {
        suspects.record_break(now, Fingerprint(id), true);
    });
    let mut sent: Vec<u64> = (0..13)
        .flat_map(|_| suspects.export_marks(now, MESSAGE_MARKS))
        .map(|mark| mark.fingerprint.0)
        .collect();
    sent.sort_unstable();
    sent.dedup();
    assert_eq!(sent.len(), 100);
}

/// Targets that crash for another reason break the connections of requests that come often; two such crashes within a minute
/// must not make a request poison that is answered in between.
#[test]
fn a_request_that_is_answered_between_two_crashes_is_not_refused() {
    let mut fleet = Fleet::new(4);
    for host in 0..4 {
        fleet.hosts[host].record_break(fleet.now, BAD, true);
        fleet.pass(secs(5.0));
        let answering = (host + 1) % 4;
        fleet.hosts[answering].record_answer(fleet.now, BAD);
        fleet.pass(secs(5.0));
    }
    let verdicts: Vec<SuspectVerdict> = (0..4).map(|host| fleet.judge(host)).collect();
    assert_eq!(verdicts, vec![SuspectVerdict::Run; 4]);
}

/// The host that probes disappears after its probe failed, so that another one takes over.
#[test]
fn probes_that_failed_count_at_the_host_that_probes_next() {
    let mut fleet = Fleet::new(4);
    fleet.arrivals(secs(0.15), secs(10.0), true);
    let mut probes = 0;
    for _ in 0..4 {
        fleet.pass(MARK_TTL + secs(30.0));
        let prober = suspect_prober(BAD, &fleet.addresses);
        let prober = fleet.addresses.iter().position(|address| Some(*address) == prober).unwrap();
        if fleet.judge(prober) == SuspectVerdict::Probe {
            probes += 1;
            fleet.hosts[prober].record_break(fleet.now, BAD, true);
            fleet.pass(secs(20.0));
        }
        if fleet.hosts.len() > 1 {
            fleet.hosts.remove(prober);
            fleet.addresses.remove(prober);
        }
    }
    assert_eq!(probes, 1, "within eight minutes");
}

/// Guards against an explained verdict that differs from the one served, or that extends the mark or uses up the probe.
#[test]
fn asking_for_the_verdict_changes_nothing() {
    let mut now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(11);
    let mut suspects = Suspects::remembering(MARK_MEMORY);
    // The same events, without the questions.
    let mut unasked = suspects.clone();
    let mut seen = Vec::new();
    for _ in 0..2000 {
        now += secs(rng.f64() * if rng.u8(..4) == 0 { 120.0 } else { 10.0 });
        let is_prober = rng.bool();
        if rng.u8(..8) == 0 {
            suspects.record_break(now, BAD, true);
            unasked.record_break(now, BAD, true);
        }
        let asked = suspects.verdict(now, BAD, || is_prober);
        if rng.bool() {
            assert_eq!(asked, suspects.judge(now, BAD, || is_prober));
            assert_eq!(asked, unasked.judge(now, BAD, || is_prober));
        }
        if !seen.contains(&asked) {
            seen.push(asked);
        }
    }
    assert_eq!(seen.len(), 3, "{seen:?}");
}
