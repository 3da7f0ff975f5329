//! Changes from one host list to the next, and their exchange between agents.

use egret_model::{HostName, record};
use serde::{Deserialize, Serialize};

use crate::{Host, HostList};

/// The number of host list changes that an agent keeps for peers that lag behind.
pub const RECENT_HOSTS_CHANGES_MAX: usize = 32;

record! {
    /// The difference between two host lists.
    #[derive(Eq)]
    pub struct HostsChange {
        /// The revision that the change starts from.
        pub before: u64,
        /// The revision that it leads to.
        pub revision: u64,
        /// Hosts that were added or changed, sorted by name.
        pub changed: Vec<Host>,
        /// Hosts that were removed, sorted.
        pub gone: Vec<HostName>,
    }
}

/// The message with which one agent brings another to a newer host list.
///
/// A change of one host among thousands takes a hundred bytes; the whole list
/// is sent only to an agent that starts or has missed too many changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostsUpdate {
    /// The whole list.
    Whole(HostList),
    /// The changes since the receiver's revision, in order.
    Changes(Vec<HostsChange>),
}

impl HostList {
    /// Returns the change that leads from this list to a later one; both must be sorted.
    #[must_use]
    pub fn change_to(&self, next: &HostList) -> HostsChange {
        let is_changed = |host: &&Host| self.host(&host.name) != Some(host);
        let is_gone = |host: &&Host| next.host(&host.name).is_none();
        HostsChange {
            before: self.revision,
            revision: next.revision,
            changed: next.hosts.iter().filter(is_changed).cloned().collect(),
            gone: self.hosts.iter().filter(is_gone).map(|host| host.name.clone()).collect(),
        }
    }

    /// Applies a change; returns `false` if it does not start from this revision.
    pub fn advance(&mut self, change: &HostsChange) -> bool {
        if change.before != self.revision {
            return false;
        }
        self.hosts.retain(|host| change.gone.binary_search(&host.name).is_err());
        for host in &change.changed {
            match self.hosts.binary_search_by(|known| known.name.cmp(&host.name)) {
                Ok(at) => self.hosts[at] = host.clone(),
                Err(at) => self.hosts.insert(at, host.clone()),
            }
        }
        self.revision = change.revision;
        true
    }

    /// Applies an update; returns whether it was applied.
    ///
    /// An update that is not newer, or whose changes do not connect to this revision, leaves the
    /// list unchanged.
    pub fn apply_update(&mut self, update: HostsUpdate) -> bool {
        match update {
            HostsUpdate::Whole(mut whole) if whole.revision > self.revision => {
                whole.sort();
                *self = whole;
                true
            }
            HostsUpdate::Whole(_) => false,
            HostsUpdate::Changes(changes) => {
                let mut next = self.clone();
                let is_applied = !changes.is_empty() && changes.iter().all(|change| next.advance(change));
                if is_applied {
                    *self = next;
                }
                is_applied
            }
        }
    }
}

/// Returns the update that brings a peer at `revision` to `list`.
///
/// `recent` holds the latest changes that led to `list`. If they do not reach back to `revision`,
/// the update is the whole list.
#[must_use]
pub fn hosts_update(list: &HostList, recent: &[HostsChange], revision: u64) -> HostsUpdate {
    match recent.iter().position(|change| change.before == revision) {
        Some(first) => HostsUpdate::Changes(recent[first..].to_vec()),
        None => HostsUpdate::Whole(list.clone()),
    }
}
