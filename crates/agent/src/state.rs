//! The configuration and the host list that an agent has in force.

use std::sync::Arc;

use egret_conf::{
    ContentHash, Head, HostList, HostsChange, HostsUpdate, Manifest, RECENT_HOSTS_CHANGES_MAX, Service,
    hosts_update,
};
use egret_wire::{CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX, LocalState, PeerQuery, StateQuery};

/// An immutable state of an agent: the head, its services and the host list.
#[derive(Clone, Debug, Default)]
pub struct AgentState {
    /// The newest head.
    pub head: Head,
    /// The services of the head with their content hashes.
    pub manifest: Manifest,
    /// The services, in the order of the manifest.
    pub services: Vec<Arc<Service>>,
    /// The newest host list.
    pub hosts: HostList,
    /// The most recent changes that led to the host list, oldest first.
    pub hosts_changes: Vec<HostsChange>,
}

impl AgentState {
    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn has_config(&self) -> bool {
        self.head.version.0 > 0
    }

    /// Returns the service whose published value has a hash.
    #[must_use]
    pub fn service_by_hash(&self, hash: ContentHash) -> Option<Arc<Service>> {
        let index = self.manifest.entries.iter().position(|entry| entry.hash == hash)?;
        Some(Arc::clone(&self.services[index]))
    }

    /// Returns the published value of a platform key, if it is in force.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        if key == CONFIG_MANIFEST_KEY {
            return serde_json::to_string(&self.manifest).ok();
        }
        let hash = key.strip_prefix(CONFIG_VALUE_PREFIX)?;
        let entry = self.manifest.entries.iter().find(|entry| entry.hash.to_string() == hash)?;
        self.service_by_hash(entry.hash).map(|service| service.to_value())
    }

    /// Returns the state for the entry or relay of this host, if it differs from the state in the query.
    #[must_use]
    pub fn local_state_for(&self, query: &StateQuery) -> Option<LocalState> {
        let same = (self.head.version, self.head.root, self.hosts.revision)
            == (query.version, query.root, query.hosts_revision);
        if same || !self.has_config() {
            return None;
        }
        Some(LocalState {
            version: self.head.version,
            root: self.head.root,
            services: self.services.iter().map(|service| Service::clone(service)).collect(),
            hosts: self.hosts.clone(),
        })
    }

    /// Returns the host list update for a peer at a revision, if the peer's list is older.
    #[must_use]
    pub fn hosts_update(&self, revision: u64) -> Option<HostsUpdate> {
        (self.hosts.revision > revision).then(|| hosts_update(&self.hosts, &self.hosts_changes, revision))
    }

    /// Returns this state with a newer host list, or `None` if the update cannot be applied.
    #[must_use]
    pub fn with_hosts_update(&self, update: HostsUpdate) -> Option<Self> {
        let mut next = self.clone();
        if !next.hosts.apply_update(update) {
            return None;
        }
        next.hosts_changes.push(self.hosts.change_to(&next.hosts));
        let excess = next.hosts_changes.len().saturating_sub(RECENT_HOSTS_CHANGES_MAX);
        next.hosts_changes.drain(..excess);
        Some(next)
    }

    /// Returns whether the peer that sent a query has a newer configuration or host list.
    #[must_use]
    pub fn is_behind(&self, query: &PeerQuery) -> bool {
        (query.version, query.root) > (self.head.version, self.head.root)
            || query.hosts_revision > self.hosts.revision
    }
}
