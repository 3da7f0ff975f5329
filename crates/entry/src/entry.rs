//! The entry's state and the way of one query.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use egret_events::{Code, Journal};
use egret_model::{
    Fingerprint, Incarnation, MissCause, QueryId, Ran, Refusal, RefusalKind, ServiceName, SnapshotShards,
    SuspectMark, Version,
};
use egret_node::{AgentWatcher, ExchangeError, HttpClient, Ops, View, new_incarnation, new_query_id};
use egret_policy::{Contention, PauseDetector, RelayHealth, Suspects};
use egret_wire::{QueryRequest, READY_PATH};
use tokio::runtime::Handle;

use crate::{
    CallerHandler, InternalHandler, Options,
    gather::{Gathered, Gatherer},
    instruments::Instruments,
    outcome::{Outcome, decide},
    plan::{Plan, plan},
    snapshot_reports::SnapshotReports,
    tickets::{Tickets, open_book},
};

const TICK: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const PLANS_MAX: usize = 3;
/// For requests whose own budget cannot be told, because they break the interface.
const BUDGET_UNKNOWN: Duration = Duration::from_secs(1);
const NOT_READY_RETRY_AFTER_MS: u64 = 1000;

/// A running entry; clones share it.
#[derive(Clone, Debug)]
pub struct Entry {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    incarnation: Incarnation,
    watcher: AgentWatcher,
    ops: Ops,
    instruments: Instruments,
    tickets: Tickets,
    observed: Mutex<SnapshotReports>,
    relays: Mutex<RelayHealth>,
    suspects: Mutex<Suspects>,
    contention: Mutex<Contention>,
}

impl Entry {
    /// Starts an entry: control on the current runtime, probes on `traffic`.
    #[must_use]
    pub fn spawn(options: Options, watcher: AgentWatcher, journal: Journal, traffic: Handle) -> Self {
        let ops = Ops::new(journal);
        let instruments = Instruments::open(&ops.metrics);
        let incarnation = new_incarnation();
        let inner = Inner {
            tickets: Tickets::open(open_book(&options, incarnation, now())),
            options,
            incarnation,
            watcher,
            ops,
            instruments,
            observed: Mutex::default(),
            relays: Mutex::default(),
            suspects: Mutex::default(),
            contention: Mutex::default(),
        };
        let entry = Self { inner: Arc::new(inner) };
        tokio::spawn(entry.clone().follow());
        tokio::spawn(entry.clone().tick(traffic));
        entry
    }

    /// Returns the site for callers.
    #[must_use]
    pub fn caller_handler(&self) -> CallerHandler {
        CallerHandler::new(self.clone())
    }

    /// Returns the site for other processes and operators.
    #[must_use]
    pub fn internal_handler(&self) -> InternalHandler {
        InternalHandler::new(self.clone())
    }

    /// Returns the operators' side.
    #[must_use]
    pub fn ops(&self) -> &Ops {
        &self.inner.ops
    }

    /// Returns the version of the configuration in force, 0 where there is none.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.inner.watcher.view().config.version()
    }

    /// Runs a query to its end.
    pub(crate) async fn run(&self, request: &QueryRequest) -> Outcome {
        let started = now();
        let query = new_query_id();
        self.journal().record(Code::QueryAccepted, query, request.class.to_string());
        let outcome = match self.run_plans(query, request, started).await {
            Ok((plan, gathered)) => {
                self.learn(gathered.mark);
                self.count(&gathered);
                decide(&plan, gathered)
            }
            Err(refusal) => Outcome::refuse(refusal),
        };
        let elapsed = now().saturating_duration_since(started);
        self.inner.instruments.latency_ms.record(elapsed.as_secs_f64() * 1000.0, &[]);
        self.note(query, &outcome);
        outcome
    }

    /// Plans a query, asks the relays first where that is worth it, and gathers.
    async fn run_plans(
        &self,
        query: QueryId,
        request: &QueryRequest,
        started: Instant,
    ) -> Result<(Plan, Gathered), Refusal> {
        if !self.inner.watcher.is_ready() {
            let refusal = Refusal::not_run(RefusalKind::NotReady, "no configuration is in force yet");
            return Err(refusal.retry_after_ms(NOT_READY_RETRY_AFTER_MS));
        }
        let view = self.inner.watcher.view();
        let plan = self.plan(&view, query, request, started)?;
        self.refuse_poison(plan.fingerprint)?;
        if let Some(refused) = Gatherer::new(self, Arc::clone(&view), &plan).preflight().await {
            return Ok((plan, refused));
        }
        Ok(self.gather_plans(&view, plan, request, started).await)
    }

    /// Gathers; a snapshot that turns out not to be held is left for another.
    async fn gather_plans(
        &self,
        view: &Arc<View>,
        mut plan: Plan,
        request: &QueryRequest,
        started: Instant,
    ) -> (Plan, Gathered) {
        let (mut attempts, mut needed, mut ran) = (0, 0, Ran::No);
        for number in 1.. {
            let mut gathered = Gatherer::new(self, Arc::clone(view), &plan).gather().await;
            attempts += gathered.attempts;
            needed = needed.max(gathered.needed);
            ran = ran.combine(gathered.ran);
            (gathered.attempts, gathered.needed, gathered.ran) = (attempts, needed, ran);
            let may_replan = number < PLANS_MAX && (request.idempotent || ran == Ran::No);
            if !may_replan || !misses_snapshot(&gathered) || now() >= plan.deadline {
                return (plan, gathered);
            }
            // A refusal of the next plan would say that nothing ran, but this one may have.
            let next = self.plan(view, plan.query, request, started).ok();
            let Some(next) = next.filter(|next| next.snapshot != plan.snapshot) else {
                return (plan, gathered);
            };
            let detail = format!("from snapshot {} to {}", plan.snapshot, next.snapshot);
            self.journal().record(Code::QueryReplanned, plan.query, detail);
            plan = next;
        }
        unreachable!("the last plan returns")
    }

    fn plan(
        &self,
        view: &View,
        query: QueryId,
        request: &QueryRequest,
        started: Instant,
    ) -> Result<Plan, Refusal> {
        plan(view, &self.observed(), &self.inner.options, started, query, request)
    }

    fn refuse_poison(&self, fingerprint: Fingerprint) -> Result<(), Refusal> {
        let suspects = self.suspects();
        if !suspects.is_poison(now(), fingerprint) {
            return Ok(());
        }
        let message = "the request broke the targets that ran it";
        let lasts = suspects.mark_ttl(now(), fingerprint).as_millis() as u64;
        Err(Refusal::not_run(RefusalKind::Poison, message).retry_after_ms(lasts))
    }

    fn count(&self, gathered: &Gathered) {
        let instruments = &self.inner.instruments;
        instruments.attempts.add(u64::from(gathered.attempts), &[]);
        instruments.needed.add(u64::from(gathered.needed), &[]);
        instruments.covered.add(gathered.coverage.covered().len() as u64, &[]);
        instruments.missing.add(gathered.coverage.missing().len() as u64, &[]);
    }

    fn note(&self, query: QueryId, outcome: &Outcome) {
        match outcome {
            Outcome::Answer(answer) => {
                self.inner.instruments.answers.add(1, &[]);
                let detail = format!("coverage {:.3}, snapshot {}", answer.coverage, answer.snapshot);
                self.journal().record(Code::QueryAnswered, query, detail);
            }
            Outcome::Refusal(body) => {
                self.inner.instruments.refusal(body.kind);
                self.journal().record(Code::QueryRefused, query, format!("{}, ran {}", body.kind, body.ran));
            }
        }
    }

    /// Returns the time budget of a request: its own, else that of its class.
    pub(crate) fn budget(&self, request: &QueryRequest) -> Duration {
        let started = now();
        let planned = self.plan(&self.inner.watcher.view(), QueryId(0), request, started);
        planned.map_or(BUDGET_UNKNOWN, |plan| plan.deadline.saturating_duration_since(started))
    }

    pub(crate) fn options(&self) -> &Options {
        &self.inner.options
    }

    pub(crate) fn journal(&self) -> &Journal {
        &self.inner.ops.journal
    }

    pub(crate) fn instruments(&self) -> &Instruments {
        &self.inner.instruments
    }

    pub(crate) fn client(&self) -> &HttpClient {
        &self.inner.options.client
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    pub(crate) fn tickets(&self) -> &Tickets {
        &self.inner.tickets
    }

    pub(crate) fn is_known_entry(&self, address: SocketAddr) -> bool {
        self.inner.watcher.view().hosts.hosts.iter().any(|host| host.entry == Some(address))
    }

    pub(crate) fn is_relay_up(&self, relay: SocketAddr) -> bool {
        self.relays().is_up(relay)
    }

    pub(crate) fn relay_answered(&self, relay: SocketAddr, leaving: bool) {
        let mut relays = self.relays();
        if leaving {
            relays.record_failure(now(), relay);
        } else if relays.record_answer(now(), relay) {
            drop(relays);
            self.journal().record(Code::RelayUp, None, relay.to_string());
        }
    }

    pub(crate) fn relay_failed(&self, relay: SocketAddr, error: &ExchangeError) {
        let late = matches!(error, ExchangeError::Timeout { .. });
        let mut relays = self.relays();
        let became_down =
            if late { relays.record_timeout(now(), relay) } else { relays.record_failure(now(), relay) };
        drop(relays);
        if became_down {
            self.journal().record(Code::RelayDown, None, error.to_string());
        }
    }

    /// Notes that a relay showed no sign of life.
    pub(crate) fn relay_silent(&self, relay: SocketAddr) {
        if self.relays().record_failure(now(), relay) {
            self.journal().record(Code::RelayDown, None, format!("{relay} is silent"));
        }
    }

    pub(crate) fn relay_lives(&self, relay: SocketAddr) {
        self.relays().record_alive(now(), relay);
    }

    pub(crate) fn answered_within(&self, relay: SocketAddr, period: Duration) -> bool {
        self.relays().answered_within(now(), relay, period)
    }

    pub(crate) fn begin_liveness_check(&self, relay: SocketAddr, timeout: Duration) -> bool {
        self.relays().begin_liveness_check(now(), relay, timeout)
    }

    pub(crate) fn observe(&self, service: &ServiceName, held: Vec<SnapshotShards>) {
        self.observed().learn(now(), service, held);
    }

    /// Notes that a service refused work for lack of slots.
    pub(crate) fn contended(&self, service: &ServiceName) {
        self.contention().record_refusal(now(), service);
    }

    pub(crate) fn is_contended(&self, service: &ServiceName) -> bool {
        self.contention().is_contended(now(), service)
    }

    pub(crate) fn mark(&self, fingerprint: Fingerprint) -> Option<SuspectMark> {
        self.suspects().export_mark(now(), fingerprint)
    }

    fn learn(&self, mark: Option<SuspectMark>) {
        if let Some(mark) = mark {
            self.suspects().merge_mark(now(), mark);
        }
    }

    fn observed(&self) -> MutexGuard<'_, SnapshotReports> {
        self.inner.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relays(&self) -> MutexGuard<'_, RelayHealth> {
        self.inner.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.inner.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn contention(&self) -> MutexGuard<'_, Contention> {
        self.inner.contention.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow(self) {
        let watcher = self.inner.watcher.clone();
        watcher.for_each(|view| self.configure(view)).await;
    }

    fn configure(&self, view: &View) {
        let mut relays: Vec<SocketAddr> = view.hosts.hosts.iter().filter_map(|host| host.relay).collect();
        relays.sort_unstable();
        self.relays().retain(&relays);
        self.observed().retain(|service| view.config.service(service).is_some());
        self.contention().retain(|service| view.config.service(service).is_some());
        self.inner.instruments.version.record(view.config.version().0, &[]);
        self.inner.ops.set_ready(true);
    }

    /// Probes relays that failed, and notices pauses.
    async fn tick(self, traffic: Handle) {
        let mut pauses = PauseDetector::new(now(), TICK);
        loop {
            tokio::time::sleep(TICK).await;
            if let Some(pause) = pauses.tick(now()) {
                self.journal().record(Code::Paused, None, format!("{} ms", pause.as_millis()));
            }
            let due = self.relays().due_probes(now());
            for relay in due {
                self.relays().record_failure(now(), relay);
                let entry = self.clone();
                traffic.spawn(async move { entry.probe(relay).await });
            }
        }
    }

    async fn probe(&self, relay: SocketAddr) {
        let answer = self.client().get(relay, READY_PATH, PROBE_TIMEOUT).await;
        if answer.is_ok_and(|exchange| exchange.status == 200) {
            self.relay_answered(relay, false);
        }
    }
}

fn misses_snapshot(gathered: &Gathered) -> bool {
    gathered.coverage.missing().iter().any(|missing| missing.cause == MissCause::Snapshot)
}

/// Returns the time of the runtime's clock, which tests pause and advance.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
