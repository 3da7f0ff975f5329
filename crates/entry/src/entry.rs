//! The state of an entry, and the steps that run a query.

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
    gather::{GatherResult, Gatherer},
    instruments::Instruments,
    outcome::{Outcome, decide},
    plan::{Plan, plan_query},
    snapshot_reports::SnapshotReports,
    tickets::{Tickets, new_registry},
};

/// The interval of probes of relays that are down, and of the detection of pauses.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of snapshots that are tried for one query.
const PLAN_ATTEMPTS_MAX: usize = 3;
/// The time budget of requests that cannot be planned, because they are invalid.
const FALLBACK_BUDGET: Duration = Duration::from_secs(1);
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
    snapshot_reports: Mutex<SnapshotReports>,
    relays: Mutex<RelayHealth>,
    suspects: Mutex<Suspects>,
    contention: Mutex<Contention>,
}

impl Entry {
    /// Starts an entry: its control tasks on the current runtime, probes of relays on `traffic`.
    #[must_use]
    pub fn spawn(options: Options, watcher: AgentWatcher, journal: Journal, traffic: Handle) -> Self {
        let ops = Ops::new(journal);
        let instruments = Instruments::register(&ops.metrics);
        let incarnation = new_incarnation();
        let inner = Inner {
            tickets: Tickets::new(new_registry(&options, incarnation, now())),
            options,
            incarnation,
            watcher,
            ops,
            instruments,
            snapshot_reports: Mutex::default(),
            relays: Mutex::default(),
            suspects: Mutex::default(),
            contention: Mutex::default(),
        };
        let entry = Self { inner: Arc::new(inner) };
        tokio::spawn(entry.clone().follow_config());
        tokio::spawn(entry.clone().run_maintenance(traffic));
        entry
    }

    /// Returns the HTTP handler for callers.
    #[must_use]
    pub fn caller_handler(&self) -> CallerHandler {
        CallerHandler::new(self.clone())
    }

    /// Returns the HTTP handler for other processes and operators.
    #[must_use]
    pub fn internal_handler(&self) -> InternalHandler {
        InternalHandler::new(self.clone())
    }

    /// Returns the journal, the metrics and the readiness of the entry.
    #[must_use]
    pub fn ops(&self) -> &Ops {
        &self.inner.ops
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.inner.watcher.view().config.version()
    }

    /// Runs a query and returns its answer or refusal.
    pub(crate) async fn run_query(&self, request: &QueryRequest) -> Outcome {
        let started = now();
        let query = new_query_id();
        self.journal().record(Code::QueryAccepted, query, request.class.to_string());
        let outcome = match self.plan_and_gather(query, request, started).await {
            Ok((plan, gathered)) => {
                self.merge_mark(gathered.mark);
                self.record_metrics(&gathered);
                decide(&plan, gathered)
            }
            Err(refusal) => Outcome::refuse(refusal),
        };
        let elapsed = now().saturating_duration_since(started);
        self.inner.instruments.latency_ms.record(elapsed.as_secs_f64() * 1000.0, &[]);
        self.record_outcome(query, &outcome);
        outcome
    }

    /// Plans a query, runs a preflight where it pays, and gathers the answers of the relays.
    async fn plan_and_gather(
        &self,
        query: QueryId,
        request: &QueryRequest,
        started: Instant,
    ) -> Result<(Plan, GatherResult), Refusal> {
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
        Ok(self.gather_with_replanning(&view, plan, request, started).await)
    }

    /// Gathers the answers of the relays, with another snapshot if targets do not hold the planned one.
    async fn gather_with_replanning(
        &self,
        view: &Arc<View>,
        mut plan: Plan,
        request: &QueryRequest,
        started: Instant,
    ) -> (Plan, GatherResult) {
        let (mut attempts, mut needed, mut ran) = (0, 0, Ran::No);
        for number in 1.. {
            let mut gathered = Gatherer::new(self, Arc::clone(view), &plan).gather().await;
            attempts += gathered.attempts;
            needed = needed.max(gathered.needed);
            ran = ran.combine(gathered.ran);
            (gathered.attempts, gathered.needed, gathered.ran) = (attempts, needed, ran);
            let may_replan = number < PLAN_ATTEMPTS_MAX && (request.idempotent || ran == Ran::No);
            if !may_replan || !misses_snapshot(&gathered) || now() >= plan.deadline {
                return (plan, gathered);
            }
            // A refusal from planning would state that nothing ran, although parts of this plan may have.
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
        plan_query(view, &self.snapshot_reports(), &self.inner.options, started, query, request)
    }

    fn refuse_poison(&self, fingerprint: Fingerprint) -> Result<(), Refusal> {
        let suspects = self.suspects();
        if !suspects.is_poison(now(), fingerprint) {
            return Ok(());
        }
        let message = "the request broke the targets that ran it";
        let ttl_ms = suspects.mark_ttl(now(), fingerprint).as_millis() as u64;
        Err(Refusal::not_run(RefusalKind::Poison, message).retry_after_ms(ttl_ms))
    }

    fn record_metrics(&self, gathered: &GatherResult) {
        let instruments = &self.inner.instruments;
        instruments.attempts.add(u64::from(gathered.attempts), &[]);
        instruments.needed.add(u64::from(gathered.needed), &[]);
        instruments.covered.add(gathered.coverage.covered().len() as u64, &[]);
        instruments.missing.add(gathered.coverage.missing().len() as u64, &[]);
    }

    fn record_outcome(&self, query: QueryId, outcome: &Outcome) {
        match outcome {
            Outcome::Answer(answer) => {
                self.inner.instruments.answers.add(1, &[]);
                let detail = format!("coverage {:.3}, snapshot {}", answer.coverage, answer.snapshot);
                self.journal().record(Code::QueryAnswered, query, detail);
            }
            Outcome::Refusal(body) => {
                self.inner.instruments.record_refusal(body.kind);
                self.journal().record(Code::QueryRefused, query, format!("{}, ran {}", body.kind, body.ran));
            }
        }
    }

    /// Returns the time budget of a request: its own, or that of its class.
    pub(crate) fn budget(&self, request: &QueryRequest) -> Duration {
        let started = now();
        let planned = self.plan(&self.inner.watcher.view(), QueryId(0), request, started);
        planned.map_or(FALLBACK_BUDGET, |plan| plan.deadline.saturating_duration_since(started))
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

    /// Records an answer of a relay; one that is shutting down counts as failed.
    pub(crate) fn record_relay_answer(&self, relay: SocketAddr, leaving: bool) {
        let mut relays = self.relays();
        if leaving {
            relays.record_failure(now(), relay);
        } else if relays.record_answer(now(), relay) {
            drop(relays);
            self.journal().record(Code::RelayUp, None, relay.to_string());
        }
    }

    /// Records a failed exchange with a relay; a timeout alone does not mark a relay as down that
    /// answered recently.
    pub(crate) fn record_relay_failure(&self, relay: SocketAddr, error: &ExchangeError) {
        let late = matches!(error, ExchangeError::Timeout { .. });
        let mut relays = self.relays();
        let became_down =
            if late { relays.record_timeout(now(), relay) } else { relays.record_failure(now(), relay) };
        drop(relays);
        if became_down {
            self.journal().record(Code::RelayDown, None, error.to_string());
        }
    }

    /// Marks a relay as down that answered neither queries nor a liveness check.
    pub(crate) fn record_relay_unresponsive(&self, relay: SocketAddr) {
        if self.relays().record_failure(now(), relay) {
            self.journal().record(
                Code::RelayDown,
                None,
                format!("relay {relay} did not answer a liveness check"),
            );
        }
    }

    pub(crate) fn record_relay_alive(&self, relay: SocketAddr) {
        self.relays().record_alive(now(), relay);
    }

    pub(crate) fn relay_answered_within(&self, relay: SocketAddr, period: Duration) -> bool {
        self.relays().answered_within(now(), relay, period)
    }

    pub(crate) fn begin_liveness_check(&self, relay: SocketAddr, timeout: Duration) -> bool {
        self.relays().begin_liveness_check(now(), relay, timeout)
    }

    pub(crate) fn record_held_snapshots(&self, service: &ServiceName, held: Vec<SnapshotShards>) {
        self.snapshot_reports().record(now(), service, held);
    }

    /// Records that a service refused work for lack of slots.
    pub(crate) fn record_overload(&self, service: &ServiceName) {
        self.contention().record_refusal(now(), service);
    }

    pub(crate) fn is_contended(&self, service: &ServiceName) -> bool {
        self.contention().is_contended(now(), service)
    }

    pub(crate) fn suspect_mark(&self, fingerprint: Fingerprint) -> Option<SuspectMark> {
        self.suspects().export_mark(now(), fingerprint)
    }

    fn merge_mark(&self, mark: Option<SuspectMark>) {
        if let Some(mark) = mark {
            self.suspects().merge_mark(now(), mark);
        }
    }

    fn snapshot_reports(&self) -> MutexGuard<'_, SnapshotReports> {
        self.inner.snapshot_reports.lock().unwrap_or_else(PoisonError::into_inner)
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

    async fn follow_config(self) {
        let watcher = self.inner.watcher.clone();
        watcher.for_each(|view| self.apply_view(view)).await;
    }

    fn apply_view(&self, view: &View) {
        let mut relays: Vec<SocketAddr> = view.hosts.hosts.iter().filter_map(|host| host.relay).collect();
        relays.sort_unstable();
        self.relays().retain(&relays);
        self.snapshot_reports().retain(|service| view.config.service(service).is_some());
        self.contention().retain(|service| view.config.service(service).is_some());
        self.inner.instruments.version.record(view.config.version().0, &[]);
        self.inner.ops.set_ready(true);
    }

    /// Probes relays that are down, and logs when the control thread was paused.
    async fn run_maintenance(self, traffic: Handle) {
        let mut pauses = PauseDetector::new(now(), MAINTENANCE_INTERVAL);
        loop {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            if let Some(pause) = pauses.tick(now()) {
                self.journal().record(Code::Paused, None, format!("{} ms", pause.as_millis()));
            }
            let due = self.relays().due_probes(now());
            for relay in due {
                // A probe counts as failed until it succeeds, so that the next one backs off.
                self.relays().record_failure(now(), relay);
                let entry = self.clone();
                traffic.spawn(async move { entry.probe_relay(relay).await });
            }
        }
    }

    async fn probe_relay(&self, relay: SocketAddr) {
        let answer = self.client().get(relay, READY_PATH, PROBE_TIMEOUT).await;
        if answer.is_ok_and(|exchange| exchange.status == 200) {
            self.record_relay_answer(relay, false);
        }
    }
}

fn misses_snapshot(gathered: &GatherResult) -> bool {
    gathered.coverage.missing().iter().any(|missing| missing.cause == MissCause::Snapshot)
}

/// Returns the time of the Tokio clock, which tests pause and advance.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
