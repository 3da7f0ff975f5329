//! This host's view of the fleet, as merged from the store and from gossip.

mod roles;

pub(crate) use self::roles::GATHER_MILLICORES;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_members::{GossipMessage, Membership, StatedChanges};
use egret_model::Version;
use egret_policy::store_readers;
use egret_routes::{Evacuations, Registry, Replica, ReplicaRun, RouteTable, StorePosition};

use crate::{
    core::Core,
    store::StoreRead,
    store_cursor::{StoreCursor, UnusableRead},
};

/// A host reads the store itself once the latest answer of the store that it knows of, its own or
/// one reported by gossip, is older than this. A reader's watch gets an answer each second, and every
/// host contacts a reader every one to two seconds.
const STORE_AGE_MAX: Duration = Duration::from_millis(3000);
/// If the store's last known answer is older than this, a host contacts a reader out of turn. That
/// costs the store nothing, and comes half-way to [`STORE_AGE_MAX`], after which the host would read
/// the store itself.
const STORE_INFO_STALE_AFTER: Duration = Duration::from_millis(1500);
/// A host that has heard of changes which it lacks reads the store itself after this time: the host that
/// has them does not answer, or not with those changes. An exchange that succeeds takes a few
/// milliseconds.
const CATCH_UP_MAX: Duration = Duration::from_millis(500);
/// How long after its start a host joins the fleet: it gossips more often, half of the time with a
/// seed, since every other host that starts contacts the seeds too.
pub(crate) const JOIN_PERIOD: Duration = Duration::from_millis(2000);
/// Bounds of the random time for which a starting host waits for gossip before it reads the store.
/// A running fleet sends everything within a few exchanges. When a whole fleet starts, the hosts that
/// read first gossip what they read, and the seeds may be the last to start.
const BOOTSTRAP_DELAY_MIN: Duration = Duration::from_millis(20);
const BOOTSTRAP_DELAY_MAX: Duration = Duration::from_millis(80);
/// Limits the fingerprints of crashing requests in one message.
const MARKS_MAX: usize = 16;
/// Limits the runs of leaving replicas in one message; the store lists them as leaving soon after.
const LEAVING_MAX: usize = 64;

/// This host's view of the fleet; only the control thread uses it.
///
/// Request handlers read the parts that they need from [`Core`], into which this view installs
/// each change.
#[derive(Debug)]
pub(crate) struct FleetView {
    core: Arc<Core>,
    pub(crate) membership: Membership,
    pub(crate) registry: Registry,
    /// As of [`Registry::synced`] or later, so that a watch which continues there misses no change.
    evacuations: Evacuations,
    table: Option<Arc<RouteTable>>,
    /// When the latest answered call to the store was sent, by this or another host.
    store_confirmed_at: Option<Instant>,
    /// Since when other hosts state changes that this host lacks.
    behind_since: Option<Instant>,
    /// The hosts that gather, as targets of a service named after their data centre.
    gatherers: Vec<Replica>,
    /// How long this host waits for gossip after its start before it reads the store itself.
    bootstrap_delay: Duration,
    /// When this host last reached targets again after it had reached none.
    regained_targets_at: Option<Instant>,
}

impl FleetView {
    pub(crate) fn new(core: Arc<Core>, membership: Membership) -> Self {
        Self {
            core,
            membership,
            registry: Registry::default(),
            evacuations: Evacuations::default(),
            table: None,
            store_confirmed_at: None,
            behind_since: None,
            gatherers: Vec::new(),
            bootstrap_delay: draw_bootstrap_delay(),
            regained_targets_at: None,
        }
    }

    /// Returns whether this host has to read the store now.
    ///
    /// Readers always do; other hosts only when gossip has brought them no recent answer of
    /// the store, or not the changes that other hosts have. A seed does not wait for gossip when it
    /// starts.
    pub(crate) fn must_read_store(&self, now: Instant) -> bool {
        let age = match self.store_confirmed_at {
            Some(at) => now.saturating_duration_since(at),
            None => self.membership.uptime(now),
        };
        if self.store_confirmed_at.is_none() && age < self.bootstrap_delay {
            let own = self.membership.own().address;
            return self.core.options.seeds.contains(&own);
        }
        self.store_confirmed_at.is_none()
            || age > STORE_AGE_MAX
            || self.behind_since.is_some_and(|since| now.saturating_duration_since(since) > CATCH_UP_MAX)
            || self.is_reader()
    }

    /// Returns the hosts that read the store for the whole fleet.
    ///
    /// A suspect, or a host that the store does not answer, is replaced at once; one reader too
    /// many does no harm.
    pub(crate) fn readers(&self) -> Vec<SocketAddr> {
        store_readers(self.membership.unsuspected().map(|member| (member.address, member.store_reachable)))
    }

    /// Returns whether this host is one of the readers.
    pub(crate) fn is_reader(&self) -> bool {
        self.readers().contains(&self.membership.own().address)
    }

    /// Returns whether this host should contact a reader out of turn, so that it need not read the
    /// store itself.
    pub(crate) fn is_store_info_stale(&self, now: Instant) -> bool {
        self.store_confirmed_at.is_some_and(|at| now.saturating_duration_since(at) > STORE_INFO_STALE_AFTER)
    }

    /// Returns the position up to which all changes are known; `None` while this host lacks the
    /// configuration, a complete list of replicas, or the evacuations.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        let synced = self.registry.synced();
        let is_complete = !synced.is_epoch_start()
            && self.table.is_some()
            && !self.lacks_homes()
            && self.evacuations.as_of() >= synced;
        is_complete.then_some(synced)
    }

    /// Returns whether this host still lacks the configuration or the replicas.
    pub(crate) fn is_bootstrapping(&self) -> bool {
        self.table.is_none() || self.registry.synced() == StorePosition::default()
    }

    /// Records that the store answered a call that was sent at `at`; earlier calls change nothing.
    pub(crate) fn confirm_store(&mut self, at: Instant) {
        self.store_confirmed_at = self.store_confirmed_at.max(Some(at));
        self.core.set_store_confirmed_at(self.store_confirmed_at);
    }

    /// Returns whether a build that knows no homes told this host the configuration in force.
    fn lacks_homes(&self) -> bool {
        self.table.as_ref().is_some_and(|table| !table.states_homes())
    }

    /// Puts a configuration in force if it is newer than the present one, or states the homes that the
    /// present one lacks; returns whether it does.
    pub(crate) fn install_table(&mut self, table: Arc<RouteTable>) -> bool {
        let adds_homes = self.version() == table.version() && self.lacks_homes() && table.states_homes();
        if self.version() >= table.version() && !adds_homes {
            return false;
        }
        log_event(Code::ConfigInForce, "", &format!("version {}", table.version()));
        let has_other_services = self.table.as_ref().is_none_or(|known| known.services() != table.services());
        self.core.set_table(Arc::clone(&table));
        self.table = Some(table);
        if has_other_services {
            // The targets follow the services' limits.
            self.core.set_replicas(&self.registry, &self.evacuations);
        }
        true
    }

    /// Applies the store's answer to a call that was sent at `sent_at`; returns whether anything
    /// changed that other hosts need.
    ///
    /// A store restored from a backup may list an older configuration than the one in force. It is
    /// ignored: the operator writes again what the backup lacks. See docs/DESIGN.md.
    ///
    /// # Errors
    /// Fails if the answer's epoch does not fit what is known; the answer is discarded.
    pub(crate) fn apply_read(
        &mut self,
        now: Instant,
        cursor: &mut StoreCursor,
        sent_at: Instant,
        mut read: StoreRead,
    ) -> Result<bool, UnusableRead> {
        let epoch = self.registry.synced().epoch;
        let mut has_changed = cursor.apply(now, &mut self.registry, &mut read)?;
        let evacuations_changed = if read.is_whole {
            self.evacuations.apply_full_read(read.position, &read.evacuations)
        } else {
            self.evacuations.apply_changes(read.position, &read.evacuations)
        };
        self.log_evacuations(evacuations_changed);
        has_changed |= evacuations_changed;
        self.install_replicas(has_changed);
        has_changed |= self.registry.synced().epoch > epoch;
        for table in read.tables {
            has_changed |= self.install_table(Arc::new(table));
        }
        self.confirm_store(sent_at);
        self.behind_since = None;
        Ok(has_changed)
    }

    /// Records whether this host reaches any target, which its next messages state.
    pub(crate) fn set_reaches_targets(&mut self, now: Instant, reaches_targets: bool) {
        if self.membership.set_reaches_targets(reaches_targets) && reaches_targets {
            self.regained_targets_at = Some(now);
        }
    }

    /// Returns a message that states which versions this host has.
    pub(crate) fn gossip_message(&mut self, now: Instant) -> GossipMessage {
        GossipMessage {
            hosts: self.membership.live_count(now) as u32,
            members: self.membership.next_updates(),
            version: self.stated_version(),
            synced: self.registry.synced(),
            changed: self.registry.last_change(),
            store_age_ms: self
                .store_confirmed_at
                .map(|at| now.saturating_duration_since(at).as_millis() as u64),
            marks: self.core.suspects().export_marks(now, MARKS_MAX),
            table: None,
            replicas: None,
            leaving: self.registry.unpublished_leaving_runs().take(LEAVING_MAX).collect(),
            evacuations: self.evacuations.clone(),
        }
    }

    /// Stops the use of runs of replicas that announced their shutdown; returns whether any was new.
    pub(crate) fn merge_leaving(&mut self, runs: impl IntoIterator<Item = ReplicaRun>) -> bool {
        let mut is_new = false;
        for run in runs {
            let id = Arc::clone(&run.id);
            if self.registry.mark_leaving(run) {
                let detail = format!("{id}: announced in its responses that it shuts down");
                log_event(Code::ReplicaLeaving, "", &detail);
                is_new = true;
            }
        }
        self.install_replicas(is_new);
        is_new
    }

    /// Returns the reply to a host's message, with the changes that the host lacks.
    pub(crate) fn reply_to(&mut self, now: Instant, request: &GossipMessage) -> GossipMessage {
        let table = self.table.clone().filter(|table| table.version() > request.version);
        let (synced, changed) = (request.synced, request.changed);
        let is_ahead = self.registry.has_updates_for(synced, changed);
        let replicas = is_ahead.then(|| self.registry.delta(synced, changed));
        let mut reply = GossipMessage { table, replicas, ..self.gossip_message(now) };
        reply.members.extend(self.membership.bootstrap_sample(now, request.hosts as usize));
        reply
    }

    /// Returns whether the sender of a message has changes that this host lacks.
    pub(crate) fn is_behind(&self, stated: StatedChanges) -> bool {
        let (synced, changed) = (self.registry.synced(), self.registry.last_change());
        stated.version > self.version()
            || stated.changed > changed
            || stated.synced > synced && stated.changed > synced
            || stated.synced.epoch > synced.epoch
            || synced.is_epoch_start() && stated.synced > synced
    }

    /// Merges another host's message; returns whether it changed the configuration or the replicas
    /// in force, or which hosts reach the targets, so that it should be pushed on.
    pub(crate) fn merge_message(&mut self, now: Instant, message: GossipMessage) -> bool {
        let mut has_changed = false;
        self.core.note_peer(now);
        for member in &message.members {
            let reached_targets = self.membership.reaches_targets(member.address);
            if self.membership.merge(now, member) {
                let detail = format!("{} in {}", member.address, member.data_centre);
                log_event(Code::HostFound, "", &detail);
            }
            has_changed |= reached_targets.is_some()
                && reached_targets != self.membership.reaches_targets(member.address);
        }
        self.core.set_hosts(self.membership.size());
        let stated = message.stated_changes();
        let store_age_ms = message.store_age_ms;
        for mark in message.marks {
            self.core.suspects().merge_mark(now, mark);
        }
        has_changed |= message.table.is_some_and(|table| self.install_table(table));
        has_changed |= self.merge_leaving(message.leaving);
        let evacuations_changed = self.evacuations.merge(message.evacuations);
        self.log_evacuations(evacuations_changed);
        self.install_replicas(evacuations_changed);
        has_changed |= evacuations_changed;
        if let Some(delta) = message.replicas {
            let previous = self.registry.synced();
            let received = delta.synced;
            let is_new = self.registry.merge(delta);
            self.log_epoch(previous, received);
            self.install_replicas(is_new);
            has_changed |= is_new;
        }
        if self.is_behind(stated) || self.lacks_homes() {
            self.behind_since.get_or_insert(now);
            return has_changed;
        }
        self.behind_since = None;
        // The store's answer to another host says nothing about this host before it has the same changes.
        if let Some(at) = store_age_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms))) {
            self.confirm_store(at);
        }
        has_changed
    }

    /// Returns the version that messages state: an earlier one while this host lacks the homes of its
    /// configuration, so that other hosts send theirs.
    fn stated_version(&self) -> Version {
        let version = self.version();
        if self.lacks_homes() { Version(version.0.saturating_sub(1)) } else { version }
    }

    fn version(&self) -> Version {
        self.table.as_ref().map_or(Version(0), |table| table.version())
    }

    /// Logs a change of the store's epoch that another host's message reports.
    fn log_epoch(&self, previous: StorePosition, received: StorePosition) {
        if !previous.accepts_epoch(received.epoch) {
            let error = UnusableRead::ImplausibleEpoch { epoch: received.epoch, known: previous.epoch };
            log_event(Code::StoreAnswerDropped, "", &format!("in a gossip message: {error}"));
        } else if received.epoch > previous.epoch && previous.epoch > 0 {
            let detail = format!(
                "the store's epoch is {}, it was {}, according to a gossip message",
                received.epoch, previous.epoch
            );
            log_event(Code::StoreRestored, "", &detail);
        }
    }

    fn log_evacuations(&self, changed: bool) {
        if changed {
            let names = self.evacuations.data_centres().join(" ");
            let as_of = self.evacuations.as_of();
            log_event(
                Code::EvacuationsInForce,
                "",
                &format!("evacuated: [{names}] at store position {as_of}"),
            );
        }
    }

    fn install_replicas(&self, changed: bool) {
        if changed {
            self.core.set_replicas(&self.registry, &self.evacuations);
            let usable = self.registry.usable().count();
            let detail = format!("{usable} usable replicas at store position {}", self.registry.synced());
            log_event(Code::ReplicasInForce, "", &detail);
        }
    }
}

/// Draws a random delay, so that hosts that start together do not all read the store.
fn draw_bootstrap_delay() -> Duration {
    BOOTSTRAP_DELAY_MIN + (BOOTSTRAP_DELAY_MAX - BOOTSTRAP_DELAY_MIN).mul_f64(fastrand::f64())
}
