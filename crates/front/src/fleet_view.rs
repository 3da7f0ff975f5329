//! What this host knows of the fleet, and how it tells others.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_members::{GossipMessage, Member, Membership};
use egret_model::Version;
use egret_policy::{GathererCandidate, choose_gatherers, store_readers};
use egret_routes::{Registry, Replica, ReplicaRun, RouteTable, StorePosition};

use crate::{
    core::Core,
    store::StoreRead,
    store_cursor::{StoreCursor, UnusableRead},
};

/// Without news of the store for this long, a host reads it itself: a reader's watch confirms
/// each second, and a host asks a reader each one to two seconds.
const STORE_AGE_MAX: Duration = Duration::from_millis(3000);
/// News of the store older than this make a host ask a reader out of turn, which costs the store
/// nothing: half of the time that is left before it would have to read.
const STORE_INFO_STALE_AFTER: Duration = Duration::from_millis(1500);
/// How long a host that just started waits for others' news before it reads the store, at least
/// and at most. A fleet that serves tells within a few exchanges. Where a whole fleet starts, the
/// first readers tell others, and seeds may be the last to start.
const BOOTSTRAP_DELAY_MIN: Duration = Duration::from_millis(20);
const BOOTSTRAP_DELAY_MAX: Duration = Duration::from_millis(80);
/// Processor time that one gather at a time takes up while it runs, for comparing gatherers.
const GATHER_MILLICORES: u32 = 40;
/// Marks that one message carries.
const MARKS_MAX: usize = 16;
/// Runs of leaving replicas that one message carries; the store tells of them soon after.
const LEAVING_MAX: usize = 64;

/// What this host knows of the fleet; lives on the control thread.
#[derive(Debug)]
pub(crate) struct FleetView {
    core: Arc<Core>,
    pub(crate) membership: Membership,
    pub(crate) registry: Registry,
    table: Option<Arc<RouteTable>>,
    store_confirmed_at: Option<Instant>,
    /// The hosts that gather, as targets of their data centre.
    gatherers: Vec<Replica>,
    /// How long this host waits for others' news before it reads the store itself.
    bootstrap_delay: Duration,
}

impl FleetView {
    pub(crate) fn new(core: Arc<Core>, membership: Membership) -> Self {
        Self {
            core,
            membership,
            registry: Registry::default(),
            table: None,
            store_confirmed_at: None,
            gatherers: Vec::new(),
            bootstrap_delay: draw_bootstrap_delay(),
        }
    }

    /// Tells whether this host should read the store now.
    pub(crate) fn must_read_store(&self, now: Instant) -> bool {
        let age = match self.store_confirmed_at {
            Some(at) => now.saturating_duration_since(at),
            None => self.membership.uptime(now),
        };
        if self.store_confirmed_at.is_none() && age < self.bootstrap_delay {
            let own = self.membership.own().address;
            return self.core.options.seeds.contains(&own);
        }
        self.store_confirmed_at.is_none() || age > STORE_AGE_MAX || self.is_reader()
    }

    /// Returns the hosts that read the store for all.
    ///
    /// One that is doubted, or that the store turns away, is replaced at once; another reader
    /// does no harm.
    pub(crate) fn readers(&self) -> Vec<SocketAddr> {
        store_readers(self.membership.unsuspected().map(|member| (member.address, member.store_reachable)))
    }

    /// Tells whether this host is one of those that read the store for all.
    pub(crate) fn is_reader(&self) -> bool {
        self.readers().contains(&self.membership.own().address)
    }

    /// Tells whether this host should soon hear of the store, or else would have to read it.
    pub(crate) fn is_store_info_stale(&self, now: Instant) -> bool {
        self.store_confirmed_at.is_some_and(|at| now.saturating_duration_since(at) > STORE_INFO_STALE_AFTER)
    }

    /// Returns the position up to which everything is known, where anything is complete.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        Some(self.registry.synced()).filter(|synced| !synced.is_epoch_start() && self.table.is_some())
    }

    /// Tells whether this host still has to learn what it serves.
    pub(crate) fn is_bootstrapping(&self) -> bool {
        self.table.is_none() || self.registry.synced() == StorePosition::default()
    }

    /// Notes that the store answered a call that was sent then.
    pub(crate) fn confirm_store(&mut self, at: Instant) {
        self.store_confirmed_at = self.store_confirmed_at.max(Some(at));
        self.core.set_store_confirmed_at(self.store_confirmed_at);
    }

    /// Takes a configuration; an older one changes nothing. Returns whether it is news.
    pub(crate) fn install_table(&mut self, table: Arc<RouteTable>) -> bool {
        if self.version() >= table.version() {
            return false;
        }
        log_event(Code::ConfigInForce, "", &format!("version {}", table.version()));
        self.core.set_table(Arc::clone(&table));
        self.table = Some(table);
        true
    }

    /// Takes what the store answered to a call that was sent then; returns whether any of it is news.
    ///
    /// A configuration that a restored store lists stays out of force where it is older than the
    /// one in force: the operator writes again what the copy lacks. See docs/DESIGN.md.
    pub(crate) fn apply_read(
        &mut self,
        now: Instant,
        cursor: &mut StoreCursor,
        sent_at: Instant,
        mut read: StoreRead,
    ) -> Result<bool, UnusableRead> {
        let epoch = self.registry.synced().epoch;
        let mut is_news = cursor.apply(now, &mut self.registry, &mut read)?;
        self.install_replicas(is_news);
        is_news |= self.registry.synced().epoch > epoch;
        for table in read.tables {
            is_news |= self.install_table(Arc::new(table));
        }
        self.confirm_store(sent_at);
        Ok(is_news)
    }

    /// Returns a message that says how far this host has come.
    pub(crate) fn gossip_message(&mut self, now: Instant) -> GossipMessage {
        GossipMessage {
            hosts: self.membership.size() as u32,
            members: self.membership.next_updates(),
            version: self.version(),
            synced: self.registry.synced(),
            changed: self.registry.last_change(),
            store_age_ms: self
                .store_confirmed_at
                .map(|at| now.saturating_duration_since(at).as_millis() as u64),
            marks: self.core.suspects().export_marks(now, MARKS_MAX),
            table: None,
            replicas: None,
            leaving: self.registry.unpublished_leaving_runs().take(LEAVING_MAX).collect(),
        }
    }

    /// Takes the word of replicas' runs that they leave; returns whether any of it is news.
    pub(crate) fn merge_leaving(&mut self, runs: impl IntoIterator<Item = ReplicaRun>) -> bool {
        let mut is_news = false;
        for run in runs {
            let id = Arc::clone(&run.id);
            if self.registry.mark_leaving(run) {
                log_event(Code::ReplicaLeaving, "", &format!("{id}: its answers say so"));
                is_news = true;
            }
        }
        self.install_replicas(is_news);
        is_news
    }

    /// Returns the answer to a host's message, with what that host lacks.
    pub(crate) fn reply_to(&mut self, now: Instant, asked: &GossipMessage) -> GossipMessage {
        let table = self.table.clone().filter(|table| table.version() > asked.version);
        let (synced, changed) = (asked.synced, asked.changed);
        let is_ahead = self.registry.has_updates_for(synced, changed);
        let replicas = is_ahead.then(|| self.registry.delta(synced, changed));
        let mut news = GossipMessage { table, replicas, ..self.gossip_message(now) };
        news.members.extend(self.membership.bootstrap_sample(asked.hosts as usize));
        news
    }

    /// Tells whether a host with this message knows what this host lacks.
    pub(crate) fn is_behind(&self, news: &GossipMessage) -> bool {
        let (synced, changed) = (self.registry.synced(), self.registry.last_change());
        news.version > self.version()
            || news.changed > changed
            || news.synced > synced && news.changed > synced
            || news.synced.epoch > synced.epoch
            || synced.is_epoch_start() && news.synced > synced
    }

    /// Takes another host's message; returns whether it changed what traffic goes by.
    pub(crate) fn merge_message(&mut self, now: Instant, news: GossipMessage) -> bool {
        for member in &news.members {
            if self.membership.merge(now, member) {
                let detail = format!("{} in {}", member.address, member.data_centre);
                log_event(Code::HostFound, "", &detail);
            }
        }
        self.core.set_hosts(self.membership.size());
        if let Some(age_ms) = news.store_age_ms
            && let Some(at) = now.checked_sub(Duration::from_millis(age_ms))
        {
            self.confirm_store(at);
        }
        for mark in news.marks {
            self.core.suspects().merge_mark(now, mark);
        }
        let mut changed = news.table.is_some_and(|table| self.install_table(table));
        changed |= self.merge_leaving(news.leaving);
        if let Some(delta) = news.replicas {
            let was = self.registry.synced();
            let told = delta.synced;
            let is_news = self.registry.merge(delta);
            self.log_epoch(was, told);
            self.install_replicas(is_news);
            changed |= is_news;
        }
        changed
    }

    /// Works out anew which hosts gather.
    pub(crate) fn choose_gatherers(&mut self, now: Instant) {
        let hosts: Vec<GathererCandidate> = self.membership.live(now).map(gather_host).collect();
        let mut names: Vec<&Arc<str>> = hosts.iter().map(|host| &host.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        let port = self.core.options.gathers.port();
        let mut chosen = Vec::new();
        for name in names {
            for address in choose_gatherers(&hosts, name) {
                let host = hosts.iter().find(|host| host.address == address);
                chosen.extend(host.map(|host| as_replica(host, port)));
            }
        }
        if chosen != self.gatherers {
            let names: Vec<&str> = chosen.iter().map(|gatherer| &*gatherer.id).collect();
            log_event(Code::GatherersChosen, "", &names.join(" "));
            self.core.set_gatherers(&chosen);
            self.gatherers = chosen;
        }
    }

    fn version(&self) -> Version {
        self.table.as_ref().map_or(Version(0), |table| table.version())
    }

    fn log_epoch(&self, was: StorePosition, told: StorePosition) {
        if !was.accepts_epoch(told.epoch) {
            let error = UnusableRead::ImplausibleEpoch { epoch: told.epoch, known: was.epoch };
            log_event(Code::StoreAnswerDropped, "", &format!("a host's message: {error}"));
        } else if told.epoch > was.epoch && was.epoch > 0 {
            let detail = format!("epoch {} after {}, told by a host", told.epoch, was.epoch);
            log_event(Code::StoreRestored, "", &detail);
        }
    }

    fn install_replicas(&self, changed: bool) {
        if changed {
            self.core.set_replicas(&self.registry);
            let usable = self.registry.usable().count();
            let detail = format!("{usable} replicas at position {}", self.registry.synced());
            log_event(Code::ReplicasInForce, "", &detail);
        }
    }
}

/// Draws a time, so that hosts that start together do not all read.
fn draw_bootstrap_delay() -> Duration {
    BOOTSTRAP_DELAY_MIN + (BOOTSTRAP_DELAY_MAX - BOOTSTRAP_DELAY_MIN).mul_f64(fastrand::f64())
}

fn gather_host(member: &Member) -> GathererCandidate {
    GathererCandidate {
        address: member.address,
        data_centre: Arc::clone(&member.data_centre),
        millicores: member.millicores,
        parts_per_s: member.parts_per_s,
    }
}

/// Describes a gatherer as a target, so that hosts choose among them as among replicas.
fn as_replica(host: &GathererCandidate, port: u16) -> Replica {
    let address = SocketAddr::new(host.address.ip(), port);
    Replica {
        id: address.to_string().into(),
        service: Arc::clone(&host.data_centre),
        address,
        data_centre: Arc::clone(&host.data_centre),
        slots: (host.millicores / GATHER_MILLICORES).max(1),
        draining: false,
        warm_up_ms: 0,
        started_at_ms: 0,
        report_number: 0,
    }
}
