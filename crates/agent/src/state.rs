//! What an agent has in force.

use std::sync::Arc;

use egret_conf::{
    ContentHash, Head, HostList, HostsChange, HostsUpdate, Manifest, RECENT_HOSTS_CHANGES_MAX, Service,
    hosts_update,
};
use egret_wire::{CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX, LocalState, PeerQuery, StateQuery};

/// One immutable state: the head, the services behind it and the hosts.
#[derive(Clone, Debug, Default)]
pub struct AgentState {
    /// The newest head.
    pub head: Head,
    /// Its services with their hashes.
    pub manifest: Manifest,
    /// The services, in the order of the manifest.
    pub services: Vec<Arc<Service>>,
    /// The newest host list.
    pub hosts: HostList,
    /// The last changes that led to it, oldest first.
    pub hosts_changes: Vec<HostsChange>,
}

impl AgentState {
    /// Tells whether a configuration is in force.
    #[must_use]
    pub fn has_config(&self) -> bool {
        self.head.version.0 > 0
    }

    /// Finds a service by the hash of its published value.
    #[must_use]
    pub fn service_by_hash(&self, hash: ContentHash) -> Option<Arc<Service>> {
        let at = self.manifest.entries.iter().position(|entry| entry.hash == hash)?;
        Some(Arc::clone(&self.services[at]))
    }

    /// Returns the published value of a platform key, where it is in force.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        if key == CONFIG_MANIFEST_KEY {
            return serde_json::to_string(&self.manifest).ok();
        }
        let hash = key.strip_prefix(CONFIG_VALUE_PREFIX)?;
        let entry = self.manifest.entries.iter().find(|entry| entry.hash.to_string() == hash)?;
        self.service_by_hash(entry.hash).map(|service| service.to_value())
    }

    /// Returns the state for this host's entry and relay, where it differs from theirs.
    #[must_use]
    pub fn local_for(&self, query: &StateQuery) -> Option<LocalState> {
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

    /// Returns what is new in the host list for a peer at a revision, where anything is.
    #[must_use]
    pub fn hosts_update(&self, revision: u64) -> Option<HostsUpdate> {
        (self.hosts.revision > revision).then(|| hosts_update(&self.hosts, &self.hosts_changes, revision))
    }

    /// Returns this state with a newer host list, where the news fit.
    #[must_use]
    pub fn with_hosts(&self, news: HostsUpdate) -> Option<Self> {
        let mut next = self.clone();
        if !next.hosts.apply_update(news) {
            return None;
        }
        next.hosts_changes.push(self.hosts.change_to(&next.hosts));
        let kept = next.hosts_changes.len().saturating_sub(RECENT_HOSTS_CHANGES_MAX);
        next.hosts_changes.drain(..kept);
        Some(next)
    }

    /// Tells whether an asking peer has something newer.
    #[must_use]
    pub fn is_behind(&self, query: &PeerQuery) -> bool {
        (query.version, query.root) > (self.head.version, self.head.root)
            || query.hosts_revision > self.hosts.revision
    }
}
