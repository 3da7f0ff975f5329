//! A stand-in for a search target licensed by the copy.
//!
//! It serves its own small HTTP server over plain connections, because it must be
//! able to break off in the middle of a reply and to drop every connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use egret_model::{Incarnation, QueryId};
use egret_wire::{
    CANCEL_PATH, Cancel, HEALTH_PATH, SEARCH_PATH, SearchReply, SearchRequest, TargetHealth, TargetLoad,
    TargetPhase, TargetRefusal, TargetRefusalReason, TargetShardHits,
};
use tokio::{
    net::TcpListener,
    runtime::Handle,
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    Behaviour, Execution,
    http_message::{HttpRequest, HttpResponse},
    well_records,
};

const BEHAVIOUR_PATH: &str = "/admin/behaviour";
const EXECUTIONS_PATH: &str = "/admin/executions";
const CANCELLED_KEPT: usize = 1024;

#[derive(Debug)]
pub(crate) struct Inner {
    behaviour: Mutex<Behaviour>,
    incarnation: AtomicU64,
    running: AtomicU64,
    overruns: AtomicU64,
    refused: AtomicU64,
    pub(crate) open_connections: AtomicU64,
    pub(crate) max_open_connections: AtomicU64,
    executions: Mutex<Vec<Execution>>,
    cancelled: Mutex<Vec<Cancel>>,
    cancels: watch::Sender<u64>,
    /// Counts crashes; every connection ends when it changes.
    pub(crate) crashes: watch::Sender<u64>,
    /// Whether the target is away after a crash.
    pub(crate) is_down: AtomicBool,
    started: Instant,
}

/// A running stand-in target; clones share it.
#[derive(Clone, Debug)]
pub struct Target {
    pub(crate) inner: Arc<Inner>,
    pub(crate) address: SocketAddr,
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    /// Fails where the address cannot be listened on.
    pub async fn bind(traffic: &Handle, address: SocketAddr, behaviour: Behaviour) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let target = Self::create(listener.local_addr()?, behaviour);
        traffic.spawn(target.clone().serve(listener));
        Ok(target)
    }

    /// Starts a target without a network, for scenarios; [`Target::answer`] is its only way in.
    #[must_use]
    pub fn without_network(address: SocketAddr, behaviour: Behaviour) -> Self {
        let target = Self::create(address, behaviour);
        tokio::spawn(target.clone().restart_after_crashes());
        target
    }

    fn create(address: SocketAddr, behaviour: Behaviour) -> Self {
        let inner = Arc::new(Inner {
            behaviour: Mutex::new(behaviour),
            incarnation: AtomicU64::new(fastrand::u64(1..)),
            running: AtomicU64::new(0),
            overruns: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            open_connections: AtomicU64::new(0),
            max_open_connections: AtomicU64::new(0),
            executions: Mutex::default(),
            cancelled: Mutex::default(),
            cancels: watch::Sender::new(0),
            crashes: watch::Sender::new(0),
            is_down: AtomicBool::new(false),
            started: Instant::now(),
        });
        Self { inner, address }
    }

    /// Answers a request without a network: a status with a body, or nothing where the
    /// target is away, crashes meanwhile, or breaks its reply off.
    pub async fn answer(&self, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        if self.inner.is_down.load(Ordering::SeqCst) {
            return None;
        }
        let mut crashes = self.inner.crashes.subscribe();
        let request = HttpRequest { path: path.to_owned(), body: body.to_vec() };
        tokio::select! {
            biased;
            _ = crashes.changed() => None,
            response = self.respond(request) => {
                (!response.truncated).then_some((response.status, response.body))
            }
        }
    }

    /// Tells whether the target is away after a crash.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.inner.is_down.load(Ordering::SeqCst)
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour.
    pub fn set(&self, behaviour: Behaviour) {
        *self.inner.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Returns the behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.inner.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns everything that was executed, in order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.inner.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how often the target crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        *self.inner.crashes.borrow()
    }

    /// Returns how often more requests arrived than there are slots.
    #[must_use]
    pub fn overruns(&self) -> u64 {
        self.inner.overruns.load(Ordering::SeqCst)
    }

    /// Returns how many requests the target refused to run.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.inner.refused.load(Ordering::SeqCst)
    }

    /// Returns the most connections that were open at a time.
    #[must_use]
    pub fn max_open_connections(&self) -> u64 {
        self.inner.max_open_connections.load(Ordering::SeqCst)
    }

    /// Drops all connections and stays away as a crashed target does.
    ///
    /// Requests that crash it together crash it once.
    pub fn crash(&self) {
        if self.inner.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.inner.crashes.send_modify(|count| *count += 1);
    }

    /// Sleeps as long as a crash lasts, and draws the identifier of the next run.
    pub(crate) async fn wait_for_restart(&self) {
        sleep(Duration::from_millis(self.behaviour().crash_ms)).await;
        self.inner.incarnation.store(fastrand::u64(1..), Ordering::SeqCst);
    }

    async fn restart_after_crashes(self) {
        let mut crashes = self.inner.crashes.subscribe();
        while crashes.changed().await.is_ok() {
            self.wait_for_restart().await;
            self.inner.is_down.store(false, Ordering::SeqCst);
        }
    }

    pub(crate) async fn respond(&self, request: HttpRequest) -> HttpResponse {
        match request.path.as_str() {
            SEARCH_PATH => match serde_json::from_slice(&request.body) {
                Ok(search) => self.search(search).await,
                Err(error) => HttpResponse::json(400, &error.to_string()),
            },
            CANCEL_PATH => {
                if let Ok(cancel) = serde_json::from_slice(&request.body) {
                    self.cancel(cancel);
                }
                HttpResponse::json(200, &true)
            }
            HEALTH_PATH => HttpResponse::json(200, &self.health()),
            BEHAVIOUR_PATH => match serde_json::from_slice(&request.body) {
                Ok(behaviour) => {
                    self.set(behaviour);
                    HttpResponse::json(200, &true)
                }
                Err(error) => HttpResponse::json(400, &error.to_string()),
            },
            EXECUTIONS_PATH => HttpResponse::json(200, &self.executions()),
            _ => HttpResponse::json(404, &"not found"),
        }
    }

    fn health(&self) -> TargetHealth {
        let behaviour = self.behaviour();
        let phase = match &behaviour {
            b if b.health_misleads => TargetPhase::Ready,
            b if b.draining || b.health_drains => TargetPhase::Draining,
            b if b.starting => TargetPhase::Starting,
            _ => TargetPhase::Ready,
        };
        TargetHealth {
            incarnation: Incarnation(self.inner.incarnation.load(Ordering::SeqCst)),
            phase,
            snapshots: behaviour.snapshots,
            load: TargetLoad { running: self.inner.running.load(Ordering::SeqCst) as u32, queued: 0 },
        }
    }

    fn refusal_reason(&self, behaviour: &Behaviour, search: &SearchRequest) -> Option<TargetRefusalReason> {
        let held = behaviour.snapshots.is_empty()
            || behaviour
                .snapshots
                .iter()
                .any(|s| (s.snapshot, s.placement) == (search.snapshot, search.placement));
        if behaviour.draining {
            Some(TargetRefusalReason::Draining)
        } else if behaviour.starting {
            Some(TargetRefusalReason::Starting)
        } else if !held {
            Some(TargetRefusalReason::Snapshot)
        } else if behaviour.sheds || behaviour.shed_classes.contains(&search.class) {
            Some(TargetRefusalReason::Busy)
        } else {
            None
        }
    }

    async fn search(&self, search: SearchRequest) -> HttpResponse {
        let behaviour = self.behaviour();
        if let Some(reason) = self.refusal_reason(&behaviour, &search) {
            self.inner.refused.fetch_add(1, Ordering::SeqCst);
            let status = if reason == TargetRefusalReason::Snapshot { 409 } else { 503 };
            return HttpResponse::json(status, &TargetRefusal { reason, retry_after_ms: None });
        }
        let Some(_running) = Running::begin(&self.inner, behaviour.slots) else {
            return HttpResponse::json(
                503,
                &TargetRefusal { reason: TargetRefusalReason::Busy, retry_after_ms: Some(5) },
            );
        };
        let body = search.body.get().to_owned();
        let recorded = self.record(&search, &body);
        if behaviour.crash_on.as_ref().is_some_and(|text| body.contains(text.as_str())) {
            self.crash();
            std::future::pending::<()>().await;
        }
        let finished = self.work(&behaviour, &search).await;
        if !finished {
            return HttpResponse::json(499, &"cancelled while it ran");
        }
        self.inner.executions.lock().unwrap_or_else(PoisonError::into_inner)[recorded].completed = true;
        let found = search.shards.iter().map(|shard| {
            let records = well_records(&search.service, shard, search.snapshot, behaviour.records);
            // A reply for another query carries that query's hits.
            let body = if behaviour.confuses { "{}" } else { body.as_str() };
            TargetShardHits { shard: shard.clone(), hits: crate::search(&records, body) }
        });
        let reply = SearchReply {
            query: if behaviour.confuses { QueryId(search.query.0 ^ 1) } else { search.query },
            origin: search.origin,
            attempt: search.attempt,
            snapshot: search.snapshot,
            placement: search.placement,
            shards: found.collect(),
            draining: self.behaviour().draining,
        };
        HttpResponse { truncated: behaviour.truncates, ..HttpResponse::json(200, &reply) }
    }

    /// Takes the time of a search; returns `false` where it is cancelled meanwhile.
    async fn work(&self, behaviour: &Behaviour, search: &SearchRequest) -> bool {
        let mut cancels = self.inner.cancels.subscribe();
        let slow = fastrand::f64() < behaviour.slow_share;
        let factor = if slow { behaviour.slow_factor } else { 1.0 };
        // Uniform around the mean, so that a quantile is worth learning.
        let micros = behaviour.service_us as f64 * factor * (0.5 + fastrand::f64());
        if micros == 0.0 {
            // A timer would wait for its next step, up to a millisecond later.
            return true;
        }
        let end = Instant::now() + Duration::from_micros(micros as u64);
        loop {
            if self.is_cancelled(search) {
                return false;
            }
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(end) => return true,
                _ = cancels.changed() => {}
            }
        }
    }

    fn cancel(&self, cancel: Cancel) {
        let mut cancelled = self.inner.cancelled.lock().unwrap_or_else(PoisonError::into_inner);
        if cancelled.len() >= CANCELLED_KEPT {
            cancelled.remove(0);
        }
        cancelled.push(cancel);
        drop(cancelled);
        self.inner.cancels.send_modify(|count| *count += 1);
    }

    fn is_cancelled(&self, search: &SearchRequest) -> bool {
        let wanted = Cancel { query: search.query, origin: search.origin, attempt: search.attempt };
        self.inner.cancelled.lock().unwrap_or_else(PoisonError::into_inner).contains(&wanted)
    }

    fn record(&self, search: &SearchRequest, body: &str) -> usize {
        let mut executions = self.inner.executions.lock().unwrap_or_else(PoisonError::into_inner);
        executions.push(Execution {
            query: search.query,
            attempt: search.attempt,
            service: search.service.clone(),
            shards: search.shards.clone(),
            snapshot: search.snapshot,
            placement: search.placement,
            idempotent: search.idempotent,
            body: body.to_owned(),
            at_ms: self.inner.started.elapsed().as_millis() as u64,
            completed: false,
        });
        executions.len() - 1
    }
}

struct Running<'a>(&'a Inner);

impl<'a> Running<'a> {
    fn begin(inner: &'a Inner, slots: u32) -> Option<Self> {
        let before = inner.running.fetch_add(1, Ordering::SeqCst);
        let running = Self(inner);
        if before >= u64::from(slots) {
            inner.overruns.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        Some(running)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}
