//! Runs the scripted scenarios of tests/scenarios on simulated fleets with a paused clock.
//!
//! [`Script::run`] lists the commands of the scripts. Every answer is verified when it
//! arrives. Each script runs twice with the same seed and must print its expected output
//! both times, which shows that runs are reproducible.

use std::time::Duration;

use datadriven::{TestCase, walk};
use egret_client::Query;
use egret_model::Ran;
use egret_proofs::{
    FleetSpec, QueryError, Role, SimulatedFleet, SnapshotPlan, verify_answer, verify_at_most_once,
};
use egret_standin::{Behaviour, PlatformMode};
use egret_wire::{HeldSnapshot, QueryAnswer, QueryRequest};
use tokio::{
    runtime::{Builder, Runtime},
    task::JoinHandle,
    time::sleep,
};

const SEED: u64 = 1;
/// Longer than agents, relays and entries need to become ready.
const READY_AFTER: Duration = Duration::from_secs(3);

type PendingQuery = JoinHandle<Result<QueryAnswer, QueryError>>;

struct Script {
    runtime: Runtime,
    fleet: Option<SimulatedFleet>,
    spec: FleetSpec,
    tickets: Vec<(String, String)>,
    /// Queries of `ask` that `expect` has not shown yet: id, number, task.
    pending: Vec<(String, u64, PendingQuery)>,
    /// The executions of each target that earlier `runs` commands have shown.
    runs_shown: Vec<usize>,
}

impl Script {
    fn new() -> Self {
        fastrand::seed(SEED);
        let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        let spec = FleetSpec::default();
        Self { runtime, fleet: None, spec, tickets: Vec::new(), pending: Vec::new(), runs_shown: Vec::new() }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let output = match case.directive.as_str() {
            "start" => self.start(case),
            "start-daemon" | "kill" | "pause" | "resume" | "drain" => self.daemon(case),
            "part" => self.partition(case),
            "cut" => self.cut(case),
            "cut-from-platform" => self.cut_from_platform(case),
            "jitter" => self.jitter(case),
            "platform" => self.platform(case),
            "publish" => self.publish(case),
            "target" => self.target(case),
            "hold" => self.hold(case),
            "crash" => self.crash(case),
            "query" => self.query(case),
            "ask" => self.ask(case),
            "expect" => self.expect(case),
            "ticket" => self.ticket(case),
            "bid" => self.bid(case),
            "advance" => self.advance(case),
            "runs" => self.runs(),
            "versions" => format!("{:?}\n", self.fleet().versions()),
            "judge" => self.verify(),
            other => panic!("unknown command {other}"),
        };
        case.expect_empty().unwrap();
        output
    }

    /// `start hosts=2 services=1 replicas=2 shards=2 budget=1000 below=partial`
    fn start(&mut self, case: &mut TestCase) -> String {
        let number = |case: &mut TestCase, name: &str, default: usize| {
            case.try_take_arg(name).unwrap().unwrap_or(default)
        };
        let refuses = case.try_take_arg::<String>("below").unwrap().is_some_and(|below| below == "refuse");
        let replicas = number(case, "replicas", 2);
        let usual = FleetSpec::default();
        let behaviour = Behaviour { service_us: 10_000, ..usual.behaviour.clone() };
        self.spec = FleetSpec {
            hosts: number(case, "hosts", 2),
            services: number(case, "services", 1),
            replicas,
            shards: number(case, "shards", 2),
            replicas_per_shard: number(case, "copies", replicas),
            budget_ms: number(case, "budget", 1000) as u32,
            below_minimum: if refuses { "refuse" } else { "partial" },
            min_coverage: if refuses { 1.0 } else { 0.5 },
            behaviour,
            ..usual
        };
        let spec = self.spec.clone();
        self.runs_shown = vec![0; spec.services * spec.replicas];
        let fleet = self.runtime.block_on(async {
            let fleet = SimulatedFleet::start(spec);
            sleep(READY_AFTER).await;
            fleet
        });
        self.fleet = Some(fleet);
        "ok\n".to_owned()
    }

    /// `kill role=relay host=0`; likewise `start-daemon`, `pause`, `resume` and `drain`
    fn daemon(&mut self, case: &mut TestCase) -> String {
        let role = match text_arg(case, "role").as_str() {
            "agent" => Role::Agent,
            "relay" => Role::Relay,
            "entry" => Role::Entry,
            other => panic!("unknown role {other}"),
        };
        let host: usize = case.take_arg("host").unwrap();
        let _runtime = self.runtime.enter();
        let fleet = self.fleet.as_mut().expect("a script starts with the command start");
        match case.directive.as_str() {
            "start-daemon" => fleet.start_daemon(host, role),
            "kill" => fleet.kill(host, role),
            "pause" => fleet.pause(host, role, true),
            "resume" => fleet.pause(host, role, false),
            _ => fleet.drain(host, role),
        }
        "ok\n".to_owned()
    }

    /// `part hosts=(0, 1)`: cuts these hosts off from all others; without hosts the partition ends.
    fn partition(&mut self, case: &mut TestCase) -> String {
        self.fleet().partition(hosts_arg(case));
        "ok\n".to_owned()
    }

    /// `cut data-centres=(0)`: cuts them off with their targets; without data centres the cut ends.
    fn cut(&mut self, case: &mut TestCase) -> String {
        let cut = case.try_take_args("data-centres").unwrap().unwrap_or_default();
        self.fleet().cut_data_centres(cut);
        "ok\n".to_owned()
    }

    /// `cut-from-platform hosts=(1)`: cuts their agents off; without hosts all agents reach it again.
    fn cut_from_platform(&mut self, case: &mut TestCase) -> String {
        self.fleet().cut_from_platform(&hosts_arg(case));
        "ok\n".to_owned()
    }

    /// `jitter ms=20`: delays messages by random times of up to 20 ms, so that they are reordered.
    fn jitter(&mut self, case: &mut TestCase) -> String {
        let ms = case.take_arg("ms").unwrap();
        self.fleet().set_jitter(Duration::from_millis(ms));
        "ok\n".to_owned()
    }

    /// `platform mode=up`, `down` or `stale`
    fn platform(&mut self, case: &mut TestCase) -> String {
        let mode = match text_arg(case, "mode").as_str() {
            "up" => PlatformMode::Up,
            "down" => PlatformMode::Down,
            "stale" => PlatformMode::Stale,
            other => panic!("unknown mode {other}"),
        };
        self.fleet().platform.set_mode(mode);
        "ok\n".to_owned()
    }

    /// `publish slots=3` or `publish snapshot=2 shards=3`
    fn publish(&mut self, case: &mut TestCase) -> String {
        let slots: Option<u16> = case.try_take_arg("slots").unwrap();
        let snapshot: Option<u64> = case.try_take_arg("snapshot").unwrap();
        let shards = case.try_take_arg("shards").unwrap().unwrap_or(self.spec.shards);
        let fleet = self.fleet.as_mut().expect("a script starts with the command start");
        let version = fleet.publish(|declared| {
            declared.spec.slots = slots.unwrap_or(declared.spec.slots);
            declared.snapshots.extend(snapshot.map(|id| SnapshotPlan { id, rotation: id as usize, shards }));
        });
        format!("version {version}\n")
    }

    /// `target service=0 replica=1 becomes=draining`
    fn target(&mut self, case: &mut TestCase) -> String {
        let (service, replica) = target_arg(case);
        let usual = self.spec.behaviour.clone();
        let target = &self.fleet().targets[service][replica];
        let behaviour = match text_arg(case, "becomes").as_str() {
            "usual" => usual,
            "draining" => Behaviour { draining: true, ..usual },
            "draining-in-health" => Behaviour { health_drains: true, ..usual },
            "draining-while-health-misleads" => Behaviour { draining: true, health_misleads: true, ..usual },
            "slow" => Behaviour { service_us: usual.service_us * 40, ..usual },
            "truncating" => Behaviour { truncates: true, ..usual },
            "confusing" => Behaviour { confuses: true, ..usual },
            "shedding" => Behaviour { sheds: true, ..usual },
            "crashing" => Behaviour { crash_on: Some("crash-me".to_owned()), ..usual },
            other => panic!("unknown behaviour {other}"),
        };
        let snapshots = target.behaviour().snapshots;
        target.set(Behaviour { snapshots, ..behaviour });
        "ok\n".to_owned()
    }

    /// `hold service=0 replica=1 snapshots=(1, 2)`
    fn hold(&mut self, case: &mut TestCase) -> String {
        let (service, replica) = target_arg(case);
        let held = |id: u64| HeldSnapshot {
            snapshot: egret_model::SnapshotId(id),
            placement: egret_model::PlacementId(id),
        };
        let snapshots = case.take_args::<u64>("snapshots").unwrap().into_iter().map(held).collect();
        let target = &self.fleet().targets[service][replica];
        target.set(Behaviour { snapshots, ..target.behaviour() });
        "ok\n".to_owned()
    }

    /// `crash service=0 replica=1`
    fn crash(&mut self, case: &mut TestCase) -> String {
        let (service, replica) = target_arg(case);
        self.fleet().targets[service][replica].crash();
        "ok\n".to_owned()
    }

    /// `query host=0 number=1 budget=500`, or `query host=0 crash-me`
    fn query(&mut self, case: &mut TestCase) -> String {
        let (host, number, request) = lookup_args(case);
        let fleet = self.fleet.as_ref().expect("a script starts with the command start");
        let result = self.runtime.block_on(fleet.query(host, &request));
        self.show(number, &result)
    }

    /// `ask id=a host=0 number=1`: starts a query, which runs during the following commands.
    fn ask(&mut self, case: &mut TestCase) -> String {
        let id = text_arg(case, "id");
        let (host, number, request) = lookup_args(case);
        let caller = self.fleet().caller();
        let task = self.runtime.spawn(async move { caller.query(host, &request).await });
        self.pending.push((id, number, task));
        "ok\n".to_owned()
    }

    /// `expect id=a`: waits for the query that `ask` started and shows its result.
    fn expect(&mut self, case: &mut TestCase) -> String {
        let id = text_arg(case, "id");
        let at =
            self.pending.iter().position(|(pending, ..)| *pending == id).expect("an earlier ask has the id");
        let (_, number, task) = self.pending.remove(at);
        let result = self.runtime.block_on(task).unwrap();
        self.show(number, &result)
    }

    /// `ticket host=0 name=t`
    fn ticket(&mut self, case: &mut TestCase) -> String {
        let (host, name): (usize, String) = (case.take_arg("host").unwrap(), text_arg(case, "name"));
        let fleet = self.fleet.as_ref().expect("a script starts with the command start");
        match self.runtime.block_on(fleet.caller().ticket(host)) {
            Ok(ticket) => {
                self.tickets.push((name, ticket.ticket));
                "ok\n".to_owned()
            }
            Err(error) => show_error(&error),
        }
    }

    /// `bid host=0 ticket=t mark=m`: sends a non-idempotent request.
    fn bid(&mut self, case: &mut TestCase) -> String {
        let (host, name): (usize, String) = (case.take_arg("host").unwrap(), text_arg(case, "ticket"));
        let body = format!(r#"{{"mark":"{}"}}"#, text_arg(case, "mark"));
        let (_, ticket) = self
            .tickets
            .iter()
            .find(|(known, _)| *known == name)
            .expect("an earlier ticket command has the name");
        let query = Query::group("desk", "file", &body).unwrap().non_idempotent().ticket(ticket);
        let fleet = self.fleet.as_ref().expect("a script starts with the command start");
        match self.runtime.block_on(fleet.query(host, query.request())) {
            Ok(answer) => show_answer(&answer),
            Err(error) => show_error(&error),
        }
    }

    /// `advance ms=500`
    fn advance(&mut self, case: &mut TestCase) -> String {
        let ms = case.take_arg("ms").unwrap();
        self.runtime.block_on(async { sleep(Duration::from_millis(ms)).await });
        "ok\n".to_owned()
    }

    /// `runs`: shows what each target executed since the last `runs`, and how often it crashed so far.
    fn runs(&mut self) -> String {
        let fleet = self.fleet.as_ref().expect("a script starts with the command start");
        let mut output = String::new();
        for (at, target) in fleet.targets.iter().flatten().enumerate() {
            let runs = target.executions().len();
            let (service, replica) = (at / self.spec.replicas, at % self.spec.replicas);
            let new = runs - std::mem::replace(&mut self.runs_shown[at], runs);
            output += &format!("{service}/{replica}: {new} runs, {} crashes\n", target.crashes());
        }
        output
    }

    /// `judge`: verifies that each shard ran each bid at most once, and shows how many runs there were.
    fn verify(&mut self) -> String {
        match verify_at_most_once(&self.fleet().executions()) {
            Ok(count) => format!("{count} ran once\n"),
            Err(violation) => format!("broken: {violation}\n"),
        }
    }

    fn show(&self, number: u64, result: &Result<QueryAnswer, QueryError>) -> String {
        match result {
            Ok(answer) => match verify_answer(self.spec.behaviour.records, number, answer) {
                Ok(()) => show_answer(answer),
                Err(violation) => format!("broken: {violation}\n"),
            },
            Err(error) => show_error(error),
        }
    }

    fn fleet(&self) -> &SimulatedFleet {
        self.fleet.as_ref().expect("a script starts with the command start")
    }
}

fn text_arg(case: &mut TestCase, name: &str) -> String {
    case.take_arg(name).unwrap()
}

fn hosts_arg(case: &mut TestCase) -> Vec<usize> {
    case.try_take_args("hosts").unwrap().unwrap_or_default()
}

fn target_arg(case: &mut TestCase) -> (usize, usize) {
    (case.take_arg("service").unwrap(), case.take_arg("replica").unwrap())
}

/// Parses the arguments of a lookup; returns the entry's host, the lookup's number and the request.
fn lookup_args(case: &mut TestCase) -> (usize, u64, QueryRequest) {
    let host = case.take_arg("host").unwrap();
    let number = case.try_take_arg("number").unwrap().unwrap_or(1);
    let crashes = case.take_flag("crash-me").unwrap();
    let body = if crashes { r#"{"crash-me":1}"#.to_owned() } else { egret_proofs::lookup_body(number) };
    let mut query = Query::group("desk", "lookup", &body).unwrap();
    if let Some(ms) = case.try_take_arg("budget").unwrap() {
        query = query.budget(Duration::from_millis(ms));
    }
    (host, number, query.request().clone())
}

fn show_answer(answer: &QueryAnswer) -> String {
    let covered: usize = answer.covered.iter().map(|part| part.shards.len()).sum();
    let missing: String = answer
        .missing
        .iter()
        .map(|missing| format!(", {}/{} {}", missing.service, missing.shard, missing.cause))
        .collect();
    format!("snapshot {}: {covered} covered, {} missing{missing}\n", answer.snapshot, answer.missing.len())
}

fn show_error(error: &QueryError) -> String {
    match error {
        QueryError::Refused(body) => {
            let after = body.retry_after_ms.map(|ms| format!(", come back after {ms} ms"));
            format!("refused: {}, ran {}{}\n", body.kind, body.ran, after.unwrap_or_default())
        }
        QueryError::NoAnswer(_) => format!("no answer, ran {}\n", Ran::Unknown),
    }
}

#[test]
fn scripts_print_the_expected_output_twice() {
    for _ in 0..2 {
        walk("tests/scenarios", |file| {
            let mut script = Script::new();
            file.run(|case| script.run(case));
        });
    }
}
