//! The state that the relay keeps for one service: its dispatcher and the waiting tasks.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use egret_conf::{HostList, Service};
use egret_model::{Fingerprint, ServiceName, ShardName, SnapshotId, SnapshotShards};
use egret_policy::{
    Admission, Baseline, Completion, Decision, Dispatcher, DrainSignal, HealthReport, Limits, Refused,
    SnapshotPlacement, Work, WorkId,
};
use tokio::sync::oneshot;

use crate::slot::{Slot, now};

/// Sub-requests of one service that may wait for a slot.
const QUEUE_MAX: usize = 1024;
/// Connections to one target that break within this time are attributed to one failure.
const SAME_BREAK_WINDOW: Duration = Duration::from_millis(100);

type Grant = Result<Slot, Refused>;

/// A task that waits in [`ServiceState::acquire`].
#[derive(Debug)]
struct Waiter {
    id: WorkId,
    unproven: Option<Fingerprint>,
    tx: oneshot::Sender<Grant>,
}

/// The immediate outcome of a request for a slot.
enum SlotOffer {
    Decided(Grant),
    Queued(WorkId, oneshot::Receiver<Grant>),
}

/// A connection that broke while a target may have run a request.
#[derive(Debug)]
struct ConnectionBreak {
    address: SocketAddr,
    fingerprint: Fingerprint,
    at: Instant,
}

#[derive(Debug)]
struct Inner {
    service: Arc<Service>,
    baseline: Baseline,
    dispatcher: Dispatcher,
    waiters: Vec<Waiter>,
    next_id: u64,
    recent_breaks: Vec<ConnectionBreak>,
    probes_in_flight: Vec<SocketAddr>,
}

/// Shares a service's dispatcher between all sub-requests for the service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    name: ServiceName,
    inner: Mutex<Inner>,
}

/// The arguments of a request for a slot; [`Work`] explains the fields.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) suspect: bool,
    pub(crate) unproven: Option<Fingerprint>,
}

impl ServiceState {
    pub(crate) fn new(service: Arc<Service>, baseline: Baseline) -> Self {
        let inner = Inner {
            dispatcher: Dispatcher::new(dispatcher_limits(&service, baseline)),
            service: Arc::clone(&service),
            baseline,
            waiters: Vec::new(),
            next_id: 0,
            recent_breaks: Vec::new(),
            probes_in_flight: Vec::new(),
        };
        Self { name: service.name.clone(), inner: Mutex::new(inner) }
    }

    pub(crate) fn name(&self) -> &ServiceName {
        &self.name
    }

    pub(crate) fn service(&self) -> Arc<Service> {
        Arc::clone(&self.lock().service)
    }

    /// Applies the declaration of the service and the host list in force.
    pub(crate) fn configure(self: &Arc<Self>, service: &Arc<Service>, hosts: &HostList) {
        let mut inner = self.lock();
        inner.service = Arc::clone(service);
        let limits = dispatcher_limits(service, inner.baseline);
        inner.dispatcher.set_limits(limits);
        let addresses: Vec<SocketAddr> = service.replicas.iter().map(|replica| replica.address).collect();
        let decisions = inner.dispatcher.set_replicas(now(), &addresses);
        for replica in &service.replicas {
            inner.dispatcher.set_host_leaving(replica.address, hosts.is_leaving(&replica.host));
        }
        self.deliver(inner, decisions);
    }

    /// Waits for a slot on one of the replicas that the request names.
    pub(crate) async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Grant {
        match self.offer(request) {
            SlotOffer::Decided(grant) => grant,
            SlotOffer::Queued(id, rx) => {
                let _guard = WithdrawOnDrop { service: self, id };
                rx.await.expect("a queued sub-request stays registered until the dispatcher decides on it")
            }
        }
    }

    fn offer(self: &Arc<Self>, request: SlotRequest) -> SlotOffer {
        let mut inner = self.lock();
        inner.next_id += 1;
        let id = WorkId(inner.next_id);
        let SlotRequest { rank, deadline, replicas, suspect, unproven } = request;
        let outcome = inner.dispatcher.offer(now(), Work { id, rank, deadline, replicas, suspect, unproven });
        let offer = match outcome.admission {
            Admission::Queued => {
                let (tx, rx) = oneshot::channel();
                inner.waiters.push(Waiter { id, unproven, tx });
                SlotOffer::Queued(id, rx)
            }
            Admission::Start(address) => {
                SlotOffer::Decided(Ok(Slot::new(Arc::clone(self), address, unproven)))
            }
            Admission::Refused(refused) => SlotOffer::Decided(Err(refused)),
        };
        self.deliver(inner, outcome.decisions);
        offer
    }

    /// Returns the refusal that a request for a slot would get now, without taking a slot.
    pub(crate) fn would_refuse(&self, request: SlotRequest) -> Option<Refused> {
        let SlotRequest { rank, deadline, replicas, suspect, unproven } = request;
        let work = Work { id: WorkId(u64::MAX), rank, deadline, replicas, suspect, unproven };
        self.lock().dispatcher.would_refuse(now(), &work)
    }

    /// Returns a slot to the dispatcher, which may give it to waiting work.
    pub(crate) fn finish(
        self: &Arc<Self>,
        now: Instant,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
        completion: Completion,
    ) {
        let mut inner = self.lock();
        let decisions = inner.dispatcher.finish(now, address, unproven, completion);
        self.deliver(inner, decisions);
    }

    /// Records that a target answered the request, which may then run on several replicas at a time.
    pub(crate) fn mark_proven(self: &Arc<Self>, now: Instant, fingerprint: Fingerprint) {
        let mut inner = self.lock();
        let decisions = inner.dispatcher.mark_proven(now, fingerprint);
        self.deliver(inner, decisions);
    }

    /// Refuses waiting work that can no longer meet its deadline and starts work that has a free slot.
    pub(crate) fn poll(self: &Arc<Self>, now: Instant) {
        let mut inner = self.lock();
        let decisions = inner.dispatcher.poll(now);
        self.deliver(inner, decisions);
    }

    /// Records the result of a health probe; `None` stands for a failed probe.
    pub(crate) fn record_probe(
        self: &Arc<Self>,
        now: Instant,
        address: SocketAddr,
        report: Option<HealthReport>,
    ) {
        let mut inner = self.lock();
        inner.probes_in_flight.retain(|probed| *probed != address);
        let decisions = match report {
            Some(report) => inner.dispatcher.report(now, address, report),
            None => inner.dispatcher.probe_failed(now, address),
        };
        self.deliver(inner, decisions);
    }

    /// Returns the replicas that are due for a probe, except those whose last probe is still in flight.
    pub(crate) fn begin_probes(&self, now: Instant, interval: Duration) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        let mut due = inner.dispatcher.begin_probes(now, interval);
        due.retain(|address| !inner.probes_in_flight.contains(address));
        inner.probes_in_flight.extend(&due);
        due
    }

    /// Records whether a reply says that its target is draining; returns whether that was not known before.
    pub(crate) fn record_reply(
        &self,
        now: Instant,
        asked_at: Instant,
        address: SocketAddr,
        draining: bool,
    ) -> bool {
        self.lock().dispatcher.record_reply(now, asked_at, address, draining)
    }

    pub(crate) fn drain_signals(&self, now: Instant) -> Vec<DrainSignal> {
        self.lock().dispatcher.drain_signals(now)
    }

    pub(crate) fn apply_drain_signal(&self, now: Instant, signal: DrainSignal) -> bool {
        self.lock().dispatcher.apply_drain_signal(now, signal)
    }

    pub(crate) fn record_missing_snapshot(&self, address: SocketAddr, held: SnapshotPlacement) {
        self.lock().dispatcher.record_missing_snapshot(address, held);
    }

    pub(crate) fn is_fully_probed(&self) -> bool {
        self.lock().dispatcher.is_fully_probed()
    }

    pub(crate) fn is_live(&self, now: Instant, address: SocketAddr) -> bool {
        self.lock().dispatcher.is_live(now, address)
    }

    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.lock().dispatcher.hedge_delay()
    }

    pub(crate) fn hedge(
        self: &Arc<Self>,
        replicas: &[SocketAddr],
        tried: &[SocketAddr],
        unproven: Option<Fingerprint>,
    ) -> Option<Slot> {
        let address = self.lock().dispatcher.hedge(now(), replicas, tried, unproven)?;
        Some(Slot::new(Arc::clone(self), address, unproven))
    }

    pub(crate) fn take_ejected(&self) -> Vec<SocketAddr> {
        self.lock().dispatcher.take_ejected()
    }

    pub(crate) fn try_retry(&self) -> bool {
        self.lock().dispatcher.try_retry()
    }

    /// Returns the slots in use and the length of the queue.
    pub(crate) fn usage(&self) -> (usize, usize) {
        self.lock().dispatcher.usage()
    }

    /// Records a broken connection and calls `mark` with whether its request was the only one at the target.
    ///
    /// Equal requests whose connections to a target break within [`SAME_BREAK_WINDOW`] count as one
    /// break, so `mark` is called for the first of them only.
    /// `mark` runs under the lock, so that no slot is granted between a break and its mark.
    pub(crate) fn record_break(
        &self,
        now: Instant,
        address: SocketAddr,
        fingerprint: Fingerprint,
        mark: impl FnOnce(bool),
    ) {
        let mut inner = self.lock();
        inner.recent_breaks.retain(|other| now.saturating_duration_since(other.at) < SAME_BREAK_WINDOW);
        let same_target = inner.recent_breaks.iter().filter(|other| other.address == address);
        let (equal, others): (Vec<&ConnectionBreak>, Vec<&ConnectionBreak>) =
            same_target.partition(|other| other.fingerprint == fingerprint);
        if equal.is_empty() {
            mark(others.is_empty() && inner.dispatcher.in_flight(address) <= 1);
        }
        inner.recent_breaks.push(ConnectionBreak { address, fingerprint, at: now });
    }

    /// Returns the replicas that hold a shard; `None` where the placement does not declare the shard.
    pub(crate) fn holders(&self, shard: &ShardName, held: SnapshotPlacement) -> Option<ShardHolders> {
        let inner = self.lock();
        let replicas = replica_addresses(&inner.service, shard, held)?;
        let any_reported = replicas.iter().any(|&address| inner.dispatcher.has_reported(address));
        let holding = replicas.into_iter().filter(|&address| inner.dispatcher.holds(address, held)).collect();
        Some(ShardHolders { holding, any_reported })
    }

    /// Counts the shards that can be served now, for each declared snapshot.
    pub(crate) fn count_held_shards(&self, now: Instant) -> Vec<SnapshotShards> {
        let inner = self.lock();
        let count = |snapshot: SnapshotId| {
            let placement = inner.service.placement_of(snapshot)?;
            let held = SnapshotPlacement { snapshot, placement: placement.id };
            let shards: Vec<Vec<SocketAddr>> = placement
                .shards
                .iter()
                .filter_map(|place| replica_addresses(&inner.service, &place.name, held))
                .collect();
            Some(inner.dispatcher.count_held_shards(now, held, shards.iter().map(Vec::as_slice)))
        };
        inner.service.snapshots.iter().filter_map(|snapshot| count(snapshot.id)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the decisions on to the waiting tasks after it has released the lock.
    ///
    /// Dropping a slot takes the lock, and a slot is dropped here if its receiver is gone.
    fn deliver(self: &Arc<Self>, mut inner: MutexGuard<'_, Inner>, decisions: Vec<Decision>) {
        let mut grants: Vec<(oneshot::Sender<Grant>, Grant)> = Vec::new();
        for decision in decisions {
            let (Decision::Start(id, _) | Decision::Refuse(id, _)) = decision;
            // A waiter that gave up has withdrawn under this lock, so its work gets no decision any more.
            let Some(at) = inner.waiters.iter().position(|waiter| waiter.id == id) else { continue };
            let Waiter { unproven, tx, .. } = inner.waiters.swap_remove(at);
            let grant = match decision {
                Decision::Start(_, address) => Ok(Slot::new(Arc::clone(self), address, unproven)),
                Decision::Refuse(_, refused) => Err(refused),
            };
            grants.push((tx, grant));
        }
        drop(inner);
        for (tx, grant) in grants {
            let _ = tx.send(grant);
        }
    }

    fn withdraw(&self, id: WorkId) {
        let mut inner = self.lock();
        inner.dispatcher.withdraw(id);
        inner.waiters.retain(|waiter| waiter.id != id);
    }
}

/// The replicas that can serve one shard from one snapshot.
#[derive(Debug)]
pub(crate) struct ShardHolders {
    /// The replicas that hold the snapshot, sorted.
    pub(crate) holding: Vec<SocketAddr>,
    /// Whether any replica of the shard ever reported its health.
    pub(crate) any_reported: bool,
}

/// Removes work from the queue when the task that waits for it is dropped.
struct WithdrawOnDrop<'a> {
    service: &'a Arc<ServiceState>,
    id: WorkId,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        self.service.withdraw(self.id);
    }
}

fn dispatcher_limits(service: &Service, baseline: Baseline) -> Limits {
    Limits {
        slots: service.slots,
        queue: QUEUE_MAX,
        hedge_percent: service.hedge_percent,
        retry_percent: service.retry_percent,
        baseline,
    }
}

/// Returns the sorted addresses of the replicas that a placement gives a shard.
fn replica_addresses(
    service: &Service,
    shard: &ShardName,
    held: SnapshotPlacement,
) -> Option<Vec<SocketAddr>> {
    let place = service.placement(held.placement)?.shard(shard)?;
    let find = |name| service.replicas.binary_search_by(|replica| replica.name.cmp(name)).ok();
    let mut addresses: Vec<SocketAddr> =
        place.replicas.iter().filter_map(find).map(|at| service.replicas[at].address).collect();
    addresses.sort_unstable();
    Some(addresses)
}
