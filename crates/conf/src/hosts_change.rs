//! What changes from one host list to the next.

use egret_model::{HostName, record};
use serde::{Deserialize, Serialize};

use crate::{Host, HostList};

/// Changes of the host list that an agent keeps for peers that lag behind.
pub const RECENT_HOSTS_CHANGES_MAX: usize = 32;

record! {
    /// The difference between two host lists.
    #[derive(Eq)]
    pub struct HostsChange {
        /// The revision that the change applies to.
        pub before: u64,
        /// The revision that it leads to.
        pub revision: u64,
        /// Hosts that are new or changed, sorted by name.
        pub changed: Vec<Host>,
        /// Hosts that are no longer listed, sorted.
        pub gone: Vec<HostName>,
    }
}

/// How one agent tells another one of a newer host list.
///
/// A change of one host among thousands moves a hundred bytes; the whole list
/// moves only to an agent that starts or missed too much.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostsUpdate {
    /// The whole list.
    Whole(HostList),
    /// The changes since the asker's revision, in order.
    Changes(Vec<HostsChange>),
}

impl HostList {
    /// Returns what leads from this list to a later one; both must be sorted.
    #[must_use]
    pub fn change_to(&self, next: &HostList) -> HostsChange {
        let is_new = |host: &&Host| self.host(&host.name) != Some(host);
        let is_gone = |host: &&Host| next.host(&host.name).is_none();
        HostsChange {
            before: self.revision,
            revision: next.revision,
            changed: next.hosts.iter().filter(is_new).cloned().collect(),
            gone: self.hosts.iter().filter(is_gone).map(|host| host.name.clone()).collect(),
        }
    }

    /// Applies a change, where it applies to this revision; returns whether it did.
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

    /// Applies news in place of this list; returns whether they fit.
    ///
    /// News that do not fit leave the list as it is.
    pub fn apply_update(&mut self, news: HostsUpdate) -> bool {
        match news {
            HostsUpdate::Whole(mut whole) if whole.revision > self.revision => {
                whole.sort();
                *self = whole;
                true
            }
            HostsUpdate::Whole(_) => false,
            HostsUpdate::Changes(changes) => {
                let mut next = self.clone();
                let fits = !changes.is_empty() && changes.iter().all(|change| next.advance(change));
                if fits {
                    *self = next;
                }
                fits
            }
        }
    }
}

/// Returns the news for a peer at a revision, from the changes that led to a list.
#[must_use]
pub fn hosts_update(list: &HostList, recent: &[HostsChange], revision: u64) -> HostsUpdate {
    match recent.iter().position(|change| change.before == revision) {
        Some(first) => HostsUpdate::Changes(recent[first..].to_vec()),
        None => HostsUpdate::Whole(list.clone()),
    }
}
