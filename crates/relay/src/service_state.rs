//! One service as the relay holds it: its dispatcher and the work that waits.

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

const QUEUE_MAX: usize = 1024;
const BREAKS_TOGETHER: Duration = Duration::from_millis(100);

type Grant = Result<Slot, Refused>;

#[derive(Debug)]
struct Waiting {
    id: WorkId,
    unproven: Option<Fingerprint>,
    tx: oneshot::Sender<Grant>,
}

/// The answer to offered work.
enum Offering {
    Ended(Grant),
    Waits(WorkId, oneshot::Receiver<Grant>),
}

#[derive(Debug)]
struct Break {
    address: SocketAddr,
    fingerprint: Fingerprint,
    at: Instant,
}

#[derive(Debug)]
struct Inner {
    service: Arc<Service>,
    baseline: Baseline,
    dispatcher: Dispatcher,
    waiting: Vec<Waiting>,
    next_id: u64,
    breaks: Vec<Break>,
    probing: Vec<SocketAddr>,
}

/// A service's dispatcher, shared by all messages that ask for the service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    name: ServiceName,
    inner: Mutex<Inner>,
}

/// What a piece of work asks of the dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) suspect: bool,
    pub(crate) unproven: Option<Fingerprint>,
}

impl ServiceState {
    pub(crate) fn new(service: Arc<Service>, baseline: Baseline) -> Self {
        let inner = Inner {
            dispatcher: Dispatcher::new(limits(&service, baseline)),
            service: Arc::clone(&service),
            baseline,
            waiting: Vec::new(),
            next_id: 0,
            breaks: Vec::new(),
            probing: Vec::new(),
        };
        Self { name: service.name.clone(), inner: Mutex::new(inner) }
    }

    pub(crate) fn name(&self) -> &ServiceName {
        &self.name
    }

    pub(crate) fn service(&self) -> Arc<Service> {
        Arc::clone(&self.lock().service)
    }

    /// Takes the declaration and the host list in force.
    pub(crate) fn configure(self: &Arc<Self>, service: &Arc<Service>, hosts: &HostList) {
        let mut inner = self.lock();
        inner.service = Arc::clone(service);
        let limits = limits(service, inner.baseline);
        inner.dispatcher.set_limits(limits);
        let addresses: Vec<SocketAddr> = service.replicas.iter().map(|replica| replica.address).collect();
        let decisions = inner.dispatcher.set_replicas(now(), &addresses);
        for replica in &service.replicas {
            inner.dispatcher.set_host_leaving(replica.address, hosts.is_leaving(&replica.host));
        }
        self.settle(inner, decisions);
    }

    /// Waits for a slot on one of the wanted replicas.
    pub(crate) async fn acquire(self: &Arc<Self>, wanted: Wanted) -> Grant {
        match self.offer(wanted) {
            Offering::Ended(grant) => grant,
            Offering::Waits(id, rx) => {
                let _withdraw = Withdraw { service: self, id };
                rx.await.expect("every wait ends with a decision")
            }
        }
    }

    fn offer(self: &Arc<Self>, wanted: Wanted) -> Offering {
        let mut inner = self.lock();
        inner.next_id += 1;
        let id = WorkId(inner.next_id);
        let Wanted { rank, deadline, replicas, suspect, unproven } = wanted;
        let offered = inner.dispatcher.offer(now(), Work { id, rank, deadline, replicas, suspect, unproven });
        let offering = match offered.admission {
            Admission::Queued => {
                let (tx, rx) = oneshot::channel();
                inner.waiting.push(Waiting { id, unproven, tx });
                Offering::Waits(id, rx)
            }
            Admission::Start(address) => Offering::Ended(Ok(Slot::new(Arc::clone(self), address, unproven))),
            Admission::Refused(refused) => Offering::Ended(Err(refused)),
        };
        self.settle(inner, offered.decisions);
        offering
    }

    /// Tells, without taking anything, whether work would be refused now.
    pub(crate) fn would_refuse(&self, wanted: Wanted) -> Option<Refused> {
        let Wanted { rank, deadline, replicas, suspect, unproven } = wanted;
        let work = Work { id: WorkId(u64::MAX), rank, deadline, replicas, suspect, unproven };
        self.lock().dispatcher.would_refuse(now(), &work)
    }

    pub(crate) fn finish(
        self: &Arc<Self>,
        now: Instant,
        address: SocketAddr,
        unproven: Option<Fingerprint>,
        finish: Completion,
    ) {
        let mut inner = self.lock();
        let decisions = inner.dispatcher.finish(now, address, unproven, finish);
        self.settle(inner, decisions);
    }

    /// Lets a request that a target answered run on several replicas at a time.
    pub(crate) fn prove(self: &Arc<Self>, now: Instant, fingerprint: Fingerprint) {
        let mut inner = self.lock();
        let decisions = inner.dispatcher.mark_proven(now, fingerprint);
        self.settle(inner, decisions);
    }

    /// Refuses waiting work whose time has come, and starts what can start.
    pub(crate) fn poll(self: &Arc<Self>, now: Instant) {
        let mut inner = self.lock();
        let decisions = inner.dispatcher.poll(now);
        self.settle(inner, decisions);
    }

    pub(crate) fn report(self: &Arc<Self>, now: Instant, address: SocketAddr, report: Option<HealthReport>) {
        let mut inner = self.lock();
        inner.probing.retain(|probed| *probed != address);
        let decisions = match report {
            Some(report) => inner.dispatcher.report(now, address, report),
            None => inner.dispatcher.probe_failed(now, address),
        };
        self.settle(inner, decisions);
    }

    /// Lists the replicas to probe, without those whose last probe still runs.
    pub(crate) fn begin_probes(&self, now: Instant, interval: Duration) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        let mut due = inner.dispatcher.begin_probes(now, interval);
        due.retain(|address| !inner.probing.contains(address));
        inner.probing.extend(&due);
        due
    }

    /// Takes what a reply says; returns whether it is the first sign that the target leaves.
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

    pub(crate) fn apply_drain_signal(&self, now: Instant, sign: DrainSignal) -> bool {
        self.lock().dispatcher.apply_drain_signal(now, sign)
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

    pub(crate) fn usage(&self) -> (usize, usize) {
        self.lock().dispatcher.usage()
    }

    /// Notes a broken connection and calls `mark` with whether its request was the only one at the target.
    ///
    /// Equal requests that broke off together count as one break. `mark` runs under
    /// the lock, so that no slot is granted between a break and its mark.
    pub(crate) fn note_break(
        &self,
        now: Instant,
        address: SocketAddr,
        fingerprint: Fingerprint,
        mark: impl FnOnce(bool),
    ) {
        let mut inner = self.lock();
        inner.breaks.retain(|other| now.saturating_duration_since(other.at) < BREAKS_TOGETHER);
        let together = inner.breaks.iter().filter(|other| other.address == address);
        let (equal, others): (Vec<&Break>, Vec<&Break>) =
            together.partition(|other| other.fingerprint == fingerprint);
        if equal.is_empty() {
            mark(others.is_empty() && inner.dispatcher.in_flight(address) <= 1);
        }
        inner.breaks.push(Break { address, fingerprint, at: now });
    }

    /// Returns the replicas that hold a shard, and whether any of them is known.
    pub(crate) fn holders(&self, shard: &ShardName, held: SnapshotPlacement) -> Option<Holders> {
        let inner = self.lock();
        let replicas = addresses(&inner.service, shard, held)?;
        let known = replicas.iter().any(|&address| inner.dispatcher.has_reported(address));
        let holding = replicas.into_iter().filter(|&address| inner.dispatcher.holds(address, held)).collect();
        Some(Holders { holding, known })
    }

    /// Counts, for each declared snapshot, the shards that can be served now.
    pub(crate) fn count_held_shards(&self, now: Instant) -> Vec<SnapshotShards> {
        let inner = self.lock();
        let count = |snapshot: SnapshotId| {
            let placement = inner.service.placement_of(snapshot)?;
            let held = SnapshotPlacement { snapshot, placement: placement.id };
            let shards: Vec<Vec<SocketAddr>> = placement
                .shards
                .iter()
                .filter_map(|place| addresses(&inner.service, &place.name, held))
                .collect();
            Some(inner.dispatcher.count_held_shards(now, held, shards.iter().map(Vec::as_slice)))
        };
        inner.service.snapshots.iter().filter_map(|snapshot| count(snapshot.id)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends waits as decided, after the lock is released.
    ///
    /// A slot whose receiver is gone is freed by its drop, which takes the lock again.
    fn settle(self: &Arc<Self>, mut inner: MutexGuard<'_, Inner>, decisions: Vec<Decision>) {
        let mut grants: Vec<(oneshot::Sender<Grant>, Grant)> = Vec::new();
        for decision in decisions {
            let (Decision::Start(id, _) | Decision::Refuse(id, _)) = decision;
            // Whoever waits withdraws under this lock, so that no decision comes too late.
            let Some(at) = inner.waiting.iter().position(|waiting| waiting.id == id) else { continue };
            let Waiting { unproven, tx, .. } = inner.waiting.swap_remove(at);
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
        inner.waiting.retain(|waiting| waiting.id != id);
    }
}

/// The replicas of one shard.
#[derive(Debug)]
pub(crate) struct Holders {
    /// Those that hold the snapshot, sorted.
    pub(crate) holding: Vec<SocketAddr>,
    /// Whether any replica of the shard ever reported.
    pub(crate) known: bool,
}

/// Takes work out of the queue when nobody waits for it any more.
struct Withdraw<'a> {
    service: &'a Arc<ServiceState>,
    id: WorkId,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        self.service.withdraw(self.id);
    }
}

fn limits(service: &Service, baseline: Baseline) -> Limits {
    Limits {
        slots: service.slots,
        queue: QUEUE_MAX,
        hedge_percent: service.hedge_percent,
        retry_percent: service.retry_percent,
        baseline,
    }
}

fn addresses(service: &Service, shard: &ShardName, held: SnapshotPlacement) -> Option<Vec<SocketAddr>> {
    let place = service.placement(held.placement)?.shard(shard)?;
    let find = |name| service.replicas.binary_search_by(|replica| replica.name.cmp(name)).ok();
    let mut addresses: Vec<SocketAddr> =
        place.replicas.iter().filter_map(find).map(|at| service.replicas[at].address).collect();
    addresses.sort_unstable();
    Some(addresses)
}
