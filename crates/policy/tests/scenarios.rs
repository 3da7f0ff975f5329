//! Scripted scenarios of the dispatcher, on a simulated clock that only `advance` moves.
//!
//! Commands: `service`, `replicas`, `report`, `lost`, `offer`, `finish`, `hedge`,
//! `leaving`, `prove`, `advance`, `withdraw`. Each prints the resulting decisions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use datadriven::{TestCase, walk};
use egret_model::{Fingerprint, Incarnation};
use egret_policy::{
    Admission, Completion, Decision, Dispatcher, DrainSignal, HealthReport, Limits, ReplicaPhase, Work,
    WorkId,
};

const REPLICAS: [&str; 3] = ["a", "b", "c"];

struct Script {
    now: Instant,
    dispatcher: Dispatcher,
}

impl Script {
    fn new() -> Self {
        Self { now: Instant::now(), dispatcher: Dispatcher::new(Limits::default()) }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let decisions = match case.directive.as_str() {
            "service" => {
                let slots = case.take_arg("slots").unwrap();
                let queue = case.try_take_arg("queue").unwrap().unwrap_or(1024);
                let hedge_percent = case.try_take_arg("hedge").unwrap().unwrap_or(2.0);
                self.dispatcher =
                    Dispatcher::new(Limits { slots, queue, hedge_percent, ..Limits::default() });
                Vec::new()
            }
            "replicas" => {
                let names: Vec<String> = case.take_args("names").unwrap();
                let addresses: Vec<SocketAddr> = names.iter().map(|name| address(name)).collect();
                self.dispatcher.set_replicas(self.now, &addresses)
            }
            "report" => self.report(case),
            "lost" => self.dispatcher.finish(
                self.now,
                address(&text(case, "replica")),
                None,
                Completion::ConnectionLost,
            ),
            "offer" => return self.offer(case),
            "finish" => self.finish(case),
            "hedge" => {
                let replicas = addresses(case, "replicas");
                let tried = addresses(case, "tried");
                return match self.dispatcher.hedge(self.now, &replicas, &tried, None) {
                    Some(address) => format!("hedge {}\n", name(address)),
                    None => "no hedge\n".to_owned(),
                };
            }
            "leaving" => {
                let signal = DrainSignal {
                    address: address(&text(case, "replica")),
                    incarnation: Some(Incarnation(case.take_arg("run").unwrap())),
                    age: Duration::from_millis(case.take_arg("age").unwrap()),
                };
                let is_news = self.dispatcher.apply_drain_signal(self.now, signal);
                return if is_news { "news\n".to_owned() } else { "known\n".to_owned() };
            }
            "prove" => {
                let like = Fingerprint(case.take_arg("like").unwrap());
                self.dispatcher.mark_proven(self.now, like)
            }
            "withdraw" => {
                let id = WorkId(case.take_arg("id").unwrap());
                return format!("{}\n", self.dispatcher.withdraw(id));
            }
            "advance" => {
                self.now += Duration::from_millis(case.take_arg("ms").unwrap());
                self.dispatcher.poll(self.now)
            }
            other => panic!("unknown command {other}"),
        };
        case.expect_empty().unwrap();
        let (used, waiting) = self.dispatcher.usage();
        let lines: String = decisions.iter().map(show).collect();
        format!("{lines}in use {used}, waiting {waiting}\n")
    }

    fn report(&mut self, case: &mut TestCase) -> Vec<Decision> {
        let phase = match text(case, "phase").as_str() {
            "ready" => ReplicaPhase::Ready,
            "draining" => ReplicaPhase::Draining,
            "starting" => ReplicaPhase::Starting,
            other => panic!("unknown phase {other}"),
        };
        let run = case.try_take_arg("run").unwrap().unwrap_or(1);
        let report = HealthReport { incarnation: Some(Incarnation(run)), phase, held: Vec::new() };
        let replica = address(&text(case, "replica"));
        self.dispatcher.report(self.now, replica, report)
    }

    fn offer(&mut self, case: &mut TestCase) -> String {
        let budget: u64 = case.take_arg("budget").unwrap();
        let unproven = case.try_take_arg::<u64>("like").unwrap().map(Fingerprint);
        let work = Work {
            id: WorkId(case.take_arg("id").unwrap()),
            rank: case.try_take_arg("rank").unwrap().unwrap_or(1),
            deadline: self.now + Duration::from_millis(budget),
            replicas: addresses(case, "replicas"),
            suspect: case.take_flag("suspect").unwrap(),
            unproven,
        };
        let offered = self.dispatcher.offer(self.now, work);
        let first = match offered.admission {
            Admission::Start(address) => format!("start on {}\n", name(address)),
            Admission::Queued => "queued\n".to_owned(),
            Admission::Refused(refused) => {
                format!(
                    "refused: {}, come back after {} ms\n",
                    refused.cause,
                    refused.retry_after.as_millis()
                )
            }
        };
        first + &offered.decisions.iter().map(show).collect::<String>()
    }

    fn finish(&mut self, case: &mut TestCase) -> Vec<Decision> {
        let replica = address(&text(case, "replica"));
        let unproven = case.try_take_arg::<u64>("like").unwrap().map(Fingerprint);
        let completion = match case.try_take_arg::<u64>("ms").unwrap() {
            Some(ms) => Completion::Answered(Duration::from_millis(ms)),
            None => match text(case, "kind").as_str() {
                "failed" => Completion::Failed,
                "not-run" => Completion::NotRun,
                "shed" => Completion::Shed,
                "lost" => Completion::ConnectionLost,
                "cancelled" => Completion::Cancelled,
                "stopped" => Completion::Stopped(Duration::from_millis(case.take_arg("after").unwrap())),
                other => panic!("unknown kind {other}"),
            },
        };
        self.dispatcher.finish(self.now, replica, unproven, completion)
    }
}

fn text(case: &mut TestCase, arg: &str) -> String {
    case.take_arg(arg).unwrap()
}

fn address(name: &str) -> SocketAddr {
    let at = REPLICAS.iter().position(|replica| *replica == name).expect("a replica of the script");
    SocketAddr::from(([127, 0, 0, 1], 7000 + at as u16))
}

fn addresses(case: &mut TestCase, arg: &str) -> Vec<SocketAddr> {
    case.take_args::<String>(arg).unwrap().iter().map(|name| address(name)).collect()
}

fn name(address: SocketAddr) -> &'static str {
    REPLICAS[usize::from(address.port() - 7000)]
}

fn show(decision: &Decision) -> String {
    match decision {
        Decision::Start(id, address) => format!("{} starts on {}\n", id.0, name(*address)),
        Decision::Refuse(id, refused) => {
            format!(
                "{} refused: {}, come back after {} ms\n",
                id.0,
                refused.cause,
                refused.retry_after.as_millis()
            )
        }
    }
}

#[test]
fn dispatcher_scripts() {
    walk("tests/scenarios", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(case));
    });
}
