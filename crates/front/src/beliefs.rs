//! What this host knows of the fleet, and how it tells others.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_decision};
use egret_members::{Membership, News};
use egret_model::Version;
use egret_policy::is_reader;
use egret_routes::{Registry, RegistryEntry, RouteTable};

use crate::core::Core;

/// Without news of the store for this long, a host reads it itself. A reader's own watch
/// confirms each second, and the news needs some gossip rounds.
pub(crate) const STORE_AGE_MAX: Duration = Duration::from_millis(1800);
/// Marks that one message carries.
const MARKS_MAX: usize = 16;

/// How far another host has come, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    version: Version,
    synced: u64,
}

#[derive(Debug)]
struct Known {
    address: SocketAddr,
    position: Position,
}

/// What this host knows of the fleet; lives on the control thread.
#[derive(Debug)]
pub(crate) struct Beliefs {
    core: Arc<Core>,
    pub(crate) membership: Membership,
    pub(crate) registry: Registry,
    table: Option<Arc<RouteTable>>,
    confirmed_at: Option<Instant>,
    /// Sorted by address.
    positions: Vec<Known>,
    /// The greatest revision that may be told as complete; a held-back deletion bounds it.
    complete_before: Option<u64>,
}

impl Beliefs {
    pub(crate) fn new(core: Arc<Core>, membership: Membership) -> Self {
        Self {
            core,
            membership,
            registry: Registry::default(),
            table: None,
            confirmed_at: None,
            positions: Vec::new(),
            complete_before: None,
        }
    }

    /// Tells whether this host should read the store now.
    pub(crate) fn must_read(&self, now: Instant) -> bool {
        let age = match self.confirmed_at {
            Some(at) => now.saturating_duration_since(at),
            None => self.membership.age(now),
        };
        let live = self.membership.live(now).map(|member| member.address);
        age > STORE_AGE_MAX || is_reader(self.membership.own().address, live)
    }

    /// Notes that the store answered a call that was sent then.
    pub(crate) fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.core.set_confirmed_at(self.confirmed_at);
    }

    /// Takes a configuration; an older one changes nothing. Returns whether it is news.
    pub(crate) fn take_table(&mut self, table: Arc<RouteTable>) -> bool {
        if self.version() >= table.version() {
            return false;
        }
        log_decision(Code::ConfigInForce, "", &format!("version {}", table.version()));
        self.core.set_table(Arc::clone(&table));
        self.table = Some(table);
        true
    }

    /// Takes changes that the store told; returns whether anything is news.
    pub(crate) fn take_entries(
        &mut self,
        entries: Vec<RegistryEntry>,
        synced: u64,
        complete_before: Option<u64>,
    ) -> bool {
        let mut changed = false;
        for entry in entries {
            changed |= self.registry.apply(entry);
        }
        self.complete_before = complete_before;
        self.registry.set_synced(complete_before.map_or(synced, |before| before.min(synced)));
        self.install_replicas(changed);
        changed
    }

    /// Returns a message for a host; an answer to its message where `to` is given.
    pub(crate) fn news_for(&self, now: Instant, to: Option<SocketAddr>) -> News {
        let position = to.and_then(|to| self.position_of(to));
        let version = self.version();
        let synced = self.registry.synced();
        let table = position.filter(|p| p.version < version).and_then(|_| self.table.clone());
        let replicas = position.filter(|p| p.synced < synced).map(|p| self.registry.delta(p.synced));
        News {
            members: self.membership.told(now),
            version,
            synced,
            store_age_ms: self.confirmed_at.map(|at| now.saturating_duration_since(at).as_millis() as u64),
            marks: self.core.suspects().all_told(now, MARKS_MAX),
            table,
            replicas,
        }
    }

    /// Takes another host's message; returns whether it changed what traffic goes by.
    pub(crate) fn take_news(&mut self, now: Instant, news: News) -> bool {
        if let Some(sender) = news.members.first() {
            let position = Position { version: news.version, synced: news.synced };
            self.set_position(sender.address, position);
        }
        for member in &news.members {
            if self.membership.learn(now, member) {
                let detail = format!("{} in {}", member.address, member.data_centre);
                log_decision(Code::HostFound, "", &detail);
            }
        }
        self.core.set_hosts(self.membership.size());
        if let Some(age_ms) = news.store_age_ms
            && let Some(at) = now.checked_sub(Duration::from_millis(age_ms))
        {
            self.confirm(at);
        }
        for mark in news.marks {
            self.core.suspects().learn(now, mark);
        }
        let mut changed = news.table.is_some_and(|table| self.take_table(table));
        if let Some(delta) = news.replicas {
            let is_news = self.registry.merge(delta);
            self.install_replicas(is_news);
            changed |= is_news;
        }
        changed
    }

    /// Notes that a host has what was sent to it.
    pub(crate) fn told(&mut self, to: SocketAddr, news: &News) {
        self.set_position(to, Position { version: news.version, synced: news.synced });
    }

    fn version(&self) -> Version {
        self.table.as_ref().map_or(Version(0), |table| table.version())
    }

    fn install_replicas(&self, changed: bool) {
        if changed {
            self.core.set_replicas(&self.registry);
            let usable = self.registry.usable().count();
            let detail = format!("{usable} replicas at revision {}", self.registry.synced());
            log_decision(Code::ReplicasInForce, "", &detail);
        }
    }

    fn position_of(&self, address: SocketAddr) -> Option<Position> {
        let at = self.positions.binary_search_by_key(&address, |known| known.address).ok()?;
        Some(self.positions[at].position)
    }

    fn set_position(&mut self, address: SocketAddr, position: Position) {
        match self.positions.binary_search_by_key(&address, |known| known.address) {
            Ok(at) => self.positions[at].position = position,
            Err(at) => self.positions.insert(at, Known { address, position }),
        }
    }
}
