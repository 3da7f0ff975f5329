//! The relay's state and its control loop.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use egret_events::{Code, Journal};
use egret_model::{Fingerprint, HostName, Incarnation, ServiceName, SuspectMark};
use egret_node::{AgentWatcher, HttpClient, Ops, View, new_incarnation};
use egret_policy::{Baseline, DrainSignal, PauseDetector, Suspects};
use egret_wire::{LeavingTarget, RelayGossip, Scatter, ScatterReply};
use tokio::runtime::Handle;

use crate::{
    Options, RelayHandler,
    gossip::{self, REPEAT_INTERVAL},
    instruments::Instruments,
    probe::probe_due,
    scatter::{self, find_service},
    service_state::ServiceState,
    slot::now,
};

const TICK: Duration = Duration::from_millis(50);

/// A running relay; clones share it.
#[derive(Clone, Debug)]
pub struct Relay {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    incarnation: Incarnation,
    watcher: AgentWatcher,
    ops: Ops,
    instruments: Instruments,
    traffic: Handle,
    services: ArcSwap<Vec<Arc<ServiceState>>>,
    suspects: Mutex<Suspects>,
    attempts: AtomicU64,
    /// Whether the other candidates were asked since the start.
    has_asked_peers: AtomicBool,
}

impl Relay {
    /// Starts a relay: control on the current runtime, targets on `traffic`.
    #[must_use]
    pub fn spawn(options: Options, watcher: AgentWatcher, journal: Journal, traffic: Handle) -> Self {
        let ops = Ops::new(journal);
        let instruments = Instruments::open(&ops.metrics);
        let inner = Inner {
            options,
            incarnation: new_incarnation(),
            watcher,
            ops,
            instruments,
            traffic,
            services: ArcSwap::default(),
            suspects: Mutex::default(),
            attempts: AtomicU64::new(0),
            has_asked_peers: AtomicBool::new(false),
        };
        let relay = Self { inner: Arc::new(inner) };
        tokio::spawn(relay.clone().follow());
        tokio::spawn(relay.clone().tick());
        relay
    }

    /// Returns the site to serve.
    #[must_use]
    pub fn handler(&self) -> RelayHandler {
        RelayHandler::new(self.clone())
    }

    /// Returns the operators' side.
    #[must_use]
    pub fn ops(&self) -> &Ops {
        &self.inner.ops
    }

    /// Runs the parts of a query that an entry sent.
    pub async fn answer(&self, scatter: Scatter) -> ScatterReply {
        scatter::answer(self, scatter).await
    }

    /// Tells which parts of a query would be refused now, without running any.
    #[must_use]
    pub fn preflight(&self, scatter: &Scatter) -> ScatterReply {
        scatter::preflight(self, scatter)
    }

    /// Takes in what another process knows of a request.
    pub fn merge_mark(&self, mark: SuspectMark) {
        self.suspects().merge_mark(now(), mark);
    }

    pub(crate) fn journal(&self) -> &Journal {
        &self.inner.ops.journal
    }

    pub(crate) fn instruments(&self) -> &Instruments {
        &self.inner.instruments
    }

    pub(crate) fn host(&self) -> &HostName {
        &self.inner.options.host
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.inner.watcher.view()
    }

    pub(crate) fn client(&self) -> &HttpClient {
        &self.inner.options.client
    }

    pub(crate) fn traffic(&self) -> &Handle {
        &self.inner.traffic
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.inner.ops.is_shutting_down()
    }

    pub(crate) fn next_attempt(&self) -> u64 {
        self.inner.attempts.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<Arc<ServiceState>> {
        find_service(&self.inner.services.load(), name)
    }

    pub(crate) fn is_poison(&self, fingerprint: Fingerprint) -> bool {
        self.suspects().is_poison(now(), fingerprint)
    }

    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects().is_suspect(now(), fingerprint)
    }

    /// Returns the fingerprint of a request that no target answered lately.
    pub(crate) fn unproven(&self, fingerprint: Fingerprint) -> Option<Fingerprint> {
        (!self.suspects().is_proven(fingerprint)).then_some(fingerprint)
    }

    pub(crate) fn prove(&self, fingerprint: Fingerprint) {
        self.suspects().mark_proven(fingerprint);
    }

    /// Returns what is known of a request, where it broke targets.
    pub(crate) fn mark_of(&self, fingerprint: Fingerprint) -> Option<SuspectMark> {
        self.suspects().export_mark(now(), fingerprint)
    }

    pub(crate) fn marks(&self, max: usize) -> Vec<SuspectMark> {
        self.suspects().export_marks(now(), max)
    }

    pub(crate) fn services(&self) -> Arc<Vec<Arc<ServiceState>>> {
        self.inner.services.load_full()
    }

    /// Marks a request that broke a connection, and tells the other candidates.
    pub(crate) fn mark(&self, fingerprint: Fingerprint, alone: bool) {
        let breaks = self.suspects().record_break(now(), fingerprint, alone);
        self.journal().record(Code::SuspectMarked, None, format!("{fingerprint} broke {breaks}"));
        gossip::spawn_exchange(self);
    }

    /// Takes another relay's word that a target leaves.
    pub fn apply_drain_signal(&self, leaving: &LeavingTarget) {
        let LeavingTarget { service, address, incarnation, age_ms } = leaving;
        let Some(state) = self.service(service) else { return };
        let age = Duration::from_millis(u64::from(*age_ms));
        let sign = DrainSignal { address: *address, incarnation: *incarnation, age };
        if state.apply_drain_signal(now(), sign) {
            let detail = format!("{service} at {address}, by another relay's word");
            self.journal().record(Code::ReplicaLeaving, None, detail);
        }
    }

    /// Repeats what this relay knows, where there is anything.
    fn repeat_gossip(&self) {
        if gossip::local_gossip(self) != RelayGossip::default() {
            gossip::spawn_exchange(self);
        }
    }

    /// Asks the other candidates before this relay takes work.
    async fn ask_peers(self) {
        gossip::exchange(&self).await;
        self.inner.has_asked_peers.store(true, Ordering::SeqCst);
    }

    /// Tells whether the other candidates were asked what this relay cannot find out.
    pub(crate) fn has_asked_peers(&self) -> bool {
        self.inner.has_asked_peers.load(Ordering::SeqCst)
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.inner.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow(self) {
        let watcher = self.inner.watcher.clone();
        watcher.for_each(|view| self.configure(view)).await;
    }

    /// Takes up the services that this relay may own; the state of known ones stays.
    fn configure(&self, view: &View) {
        let old = self.inner.services.load_full();
        let mut services: Vec<Arc<ServiceState>> = Vec::new();
        for service in view.config.services() {
            let mine = view
                .block(&service.block)
                .is_some_and(|block| block.is_candidate(self.inner.options.host.as_str()));
            if !mine && self.inner.options.baseline != Baseline::Direct {
                continue;
            }
            let state = find_service(&old, &service.name).unwrap_or_else(|| {
                Arc::new(ServiceState::new(Arc::clone(service), self.inner.options.baseline))
            });
            state.configure(service, &view.hosts);
            services.push(state);
        }
        self.inner.services.store(Arc::new(services));
        if !self.has_asked_peers() {
            tokio::spawn(self.clone().ask_peers());
        }
        self.inner.instruments.version.record(view.config.version().0, &[]);
    }

    /// Probes targets, ends hopeless waits, repeats notices and finds pauses.
    async fn tick(self) {
        let mut pauses = PauseDetector::new(now(), TICK);
        let mut exchanged_at = now();
        loop {
            tokio::time::sleep(TICK).await;
            if let Some(pause) = pauses.tick(now()) {
                self.journal().record(Code::Paused, None, format!("{} ms", pause.as_millis()));
                // What it knew of leaving targets may be old, also where their health says ready.
                self.inner.has_asked_peers.store(false, Ordering::SeqCst);
                tokio::spawn(self.clone().ask_peers());
            }
            if now().saturating_duration_since(exchanged_at) >= REPEAT_INTERVAL {
                exchanged_at = now();
                self.repeat_gossip();
            }
            let (mut slots, mut queue, mut warm) = (0, 0, self.inner.watcher.is_ready());
            for state in self.inner.services.load().iter() {
                probe_due(&self, state);
                state.poll(now());
                for address in state.take_ejected() {
                    self.journal().record(
                        Code::ReplicaEjected,
                        None,
                        format!("{} at {address}", state.name()),
                    );
                }
                warm &= state.is_fully_probed();
                let usage = state.usage();
                slots += usage.0;
                queue += usage.1;
            }
            if warm && self.inner.has_asked_peers.load(Ordering::SeqCst) {
                self.inner.ops.set_ready(true);
            }
            self.inner.instruments.slots.record(slots as u64, &[]);
            self.inner.instruments.queue.record(queue as u64, &[]);
        }
    }
}
