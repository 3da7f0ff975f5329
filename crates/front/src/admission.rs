//! Admission of whole gathers on the host that runs them: the waiting for a start, and its end.
//!
//! [`egret_policy::QueryAdmission`] decides; see docs/design/query-admission.md.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_policy::{QueryAdmission, QueryArrival, QueryEnd, QueryVerdict};
use egret_routes::{GatherPlan, Route};
use tokio::sync::oneshot;

use crate::{
    Mechanism,
    caller_request::CallerRequest,
    clock::now,
    core::{Core, lock},
    gather_options::GatherOptions,
};

/// How long an index without queries is remembered; its limit is learned anew after that.
const INDEX_TTL: Duration = Duration::from_secs(60);
/// How often a query in the queue checks whether it may start although no other ended: a higher rank may no longer need
/// the capacity.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The interval between log events about one index that refuses queries.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The queries of one index at this host.
#[derive(Debug)]
struct IndexQueries {
    /// Identifies the index: a hash of its shards.
    index: u64,
    queries: QueryAdmission,
    /// Wakes the queries in the queue, by their identifiers.
    waiting: Vec<(u64, oneshot::Sender<()>)>,
    used_at: Instant,
    logged_at: Option<Instant>,
}

/// Totals over all indexes, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdmissionTotals {
    /// The lowest limit on the queries in flight; zero where there is no index.
    pub(crate) limit: f64,
    pub(crate) in_flight: usize,
    pub(crate) queued: usize,
}

/// The admission of gathers on this host, by index.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Sorted by index.
    indexes: Vec<IndexQueries>,
    next_id: u64,
}

impl Admission {
    fn index(&mut self, now: Instant, index: u64) -> &mut IndexQueries {
        self.indexes.retain(|entry| entry.is_in_use(now));
        let found = self.indexes.binary_search_by_key(&index, |entry| entry.index);
        let at = found.unwrap_or_else(|_| {
            let at = self.indexes.partition_point(|entry| entry.index < index);
            let queries = QueryAdmission::default();
            let entry = IndexQueries { index, queries, waiting: Vec::new(), used_at: now, logged_at: None };
            self.indexes.insert(at, entry);
            at
        });
        let entry = &mut self.indexes[at];
        entry.used_at = now;
        entry
    }

    /// Returns a copy of the admission of an index, to ask what would happen to a query.
    pub(crate) fn copy_of(&self, now: Instant, index: u64) -> QueryAdmission {
        let found = self.indexes.binary_search_by_key(&index, |entry| entry.index);
        let known = found.ok().map(|at| &self.indexes[at]).filter(|entry| entry.is_in_use(now));
        known.map(|entry| entry.queries.clone()).unwrap_or_default()
    }

    /// Returns the totals over all indexes.
    pub(crate) fn totals(&self) -> AdmissionTotals {
        let mut totals = AdmissionTotals::default();
        for (at, entry) in self.indexes.iter().enumerate() {
            let (limit, in_flight, queued) = entry.queries.load();
            totals.limit = if at == 0 { limit } else { totals.limit.min(limit) };
            totals.in_flight += in_flight;
            totals.queued += queued;
        }
        totals
    }
}

impl IndexQueries {
    fn is_in_use(&self, now: Instant) -> bool {
        let (_, in_flight, queued) = self.queries.load();
        in_flight + queued > 0 || now.saturating_duration_since(self.used_at) < INDEX_TTL
    }

    /// Starts the queued queries that the limit allows.
    fn start_queued(&mut self, now: Instant) {
        loop {
            let started = self.queries.start_queued(now);
            if started.is_empty() {
                return;
            }
            for id in started {
                if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == id) {
                    // If its caller no longer waits, its guard ends the query.
                    let _ = self.waiting.swap_remove(at).1.send(());
                }
            }
        }
    }

    fn remove_waiting(&mut self, id: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != id);
    }
}

/// A query that was admitted; dropping it ends the query.
#[derive(Debug)]
pub(crate) struct AdmittedQuery {
    core: Arc<Core>,
    index: u64,
    end: Option<QueryEnd>,
    priority: u32,
    objective: Duration,
    began_at: Instant,
}

impl AdmittedQuery {
    /// Returns whether another query could start beside this one and those in flight.
    pub(crate) fn leaves_room(&self) -> bool {
        let now = now();
        self.core.admission().index(now, self.index).queries.has_room(now)
    }

    /// Records what the query says about the load of the targets and of this host; it ends when `self` is dropped.
    pub(crate) fn report(
        &mut self,
        queued_per_slot: Option<f64>,
        service_time: Duration,
        host_delay: Duration,
    ) {
        let Self { priority, objective, began_at, .. } = *self;
        self.end =
            Some(QueryEnd { priority, objective, began_at, queued_per_slot, service_time, host_delay });
    }
}

impl Drop for AdmittedQuery {
    fn drop(&mut self) {
        let now = now();
        let mut admission = self.core.admission();
        let entry = admission.index(now, self.index);
        entry.queries.end(now, self.end);
        entry.start_queued(now);
    }
}

/// A query in the queue; dropping it takes it out, or ends it if it has been started meanwhile.
struct QueuedGuard<'a> {
    core: &'a Arc<Core>,
    index: u64,
    id: u64,
    is_done: bool,
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let now = now();
        let mut admission = self.core.admission();
        let entry = admission.index(now, self.index);
        entry.remove_waiting(self.id);
        if !entry.queries.cancel(self.id) {
            entry.queries.end(now, None);
        }
        entry.start_queued(now);
    }
}

/// Describes a gather to [`QueryAdmission`].
pub(crate) fn query_arrival(
    core: &Core,
    route: &Route,
    req: &CallerRequest,
    options: GatherOptions,
    id: u64,
) -> QueryArrival {
    QueryArrival {
        id,
        priority: route.priority,
        objective: Duration::from_millis(route.latency_objective_ms),
        sender: req.sent_on_by().unwrap_or(core.options.gathers.ip()),
        arrived_at: req.arrived_at,
        due_at: options.answer_at,
        // A deadline beyond the route's timeout is not what its callers usually state.
        budget: req.deadline.min(Duration::from_millis(route.timeout_ms)),
        must_start: options.is_repeat,
    }
}

/// Waits until a gather may start on this host.
///
/// Returns `None` where gathers are not limited.
///
/// # Errors
/// Returns the time after which the caller may return; no target got the request.
pub(crate) async fn admit(
    core: &Arc<Core>,
    route: &Route,
    plan: &GatherPlan,
    req: &CallerRequest,
    options: GatherOptions,
) -> Result<Option<AdmittedQuery>, Duration> {
    if !core.is_enabled(Mechanism::QueryAdmission) {
        return Ok(None);
    }
    let index = plan.index_hash();
    let objective = Duration::from_millis(route.latency_objective_ms);
    let began_at = now();
    let (verdict, id, started) = {
        let mut admission = core.admission();
        admission.next_id += 1;
        let id = admission.next_id;
        let arrival = query_arrival(core, route, req, options, id);
        let entry = admission.index(began_at, index);
        let verdict = entry.queries.offer(began_at, arrival);
        let (tx, rx) = oneshot::channel();
        if matches!(verdict, QueryVerdict::Wait(_)) {
            entry.waiting.push((id, tx));
            // Queries before it may have waited for a higher rank that no longer needs the capacity.
            entry.start_queued(began_at);
        }
        (verdict, id, rx)
    };
    let admitted = |began_at| {
        let core = Arc::clone(core);
        Some(AdmittedQuery { core, index, end: None, priority: route.priority, objective, began_at })
    };
    let wait_until = match verdict {
        QueryVerdict::Start => {
            core.instruments.admission("started");
            return Ok(admitted(began_at));
        }
        QueryVerdict::Refuse(after) => return Err(refused(core, route, index, after, "refused")),
        QueryVerdict::Wait(until) => until,
    };
    let mut guard = QueuedGuard { core, index, id, is_done: false };
    match wait(core, index, started, wait_until).await {
        true => {
            guard.is_done = true;
            core.instruments.admission("queued");
            Ok(admitted(now()))
        }
        false => {
            let now = now();
            let expired = {
                let mut admission = core.admission();
                let entry = admission.index(now, index);
                entry.remove_waiting(id);
                entry.queries.expire(now, id)
            };
            guard.is_done = true;
            match expired {
                Some(after) => Err(refused(core, route, index, after, "expired")),
                // It was started in the moment in which its time ended.
                None => {
                    core.instruments.admission("queued");
                    Ok(admitted(now))
                }
            }
        }
    }
}

/// Waits for the start of a query in the queue; returns whether it came by `until`.
async fn wait(core: &Core, index: u64, mut started: oneshot::Receiver<()>, until: Instant) -> bool {
    loop {
        let checked_at = now();
        let paused_until = core.admission().index(checked_at, index).queries.paused_until(checked_at);
        let wake_at = paused_until.unwrap_or(until).min(checked_at + QUEUE_CHECK_INTERVAL).min(until);
        tokio::select! {
            biased;
            is_started = &mut started => return is_started.is_ok(),
            () = tokio::time::sleep_until(wake_at.into()) => {}
        }
        let now = now();
        core.admission().index(now, index).start_queued(now);
        if now >= until {
            return started.try_recv().is_ok();
        }
    }
}

fn refused(core: &Core, route: &Route, index: u64, after: Duration, end: &'static str) -> Duration {
    core.instruments.admission(end);
    let now = now();
    let detail = {
        let mut admission = core.admission();
        let entry = admission.index(now, index);
        let is_due = entry.logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        is_due.then(|| {
            entry.logged_at = Some(now);
            let (limit, in_flight, queued) = entry.queries.load();
            format!(
                "route {}: {in_flight} queries in flight, limit {limit:.1}, {queued} queued; the caller may return \
                 after {after:?}",
                route.name
            )
        })
    };
    if let Some(detail) = detail {
        log_event(Code::QueriesLimited, "", &detail);
    }
    after
}

impl Core {
    /// Returns the admission of gathers.
    pub(crate) fn admission(&self) -> std::sync::MutexGuard<'_, Admission> {
        lock(&self.admission)
    }
}
