//! The head and the manifest, which are published besides the services.
//!
//! The head is small and carries the recent changes, so that one read tells a
//! follower which services to fetch. Only a follower that fell further behind
//! reads the manifest.

use egret_model::{ServiceName, Version, record};

use crate::ContentHash;

/// The maximum number of changes in a head; a follower further behind reads the manifest.
pub const RECENT_CHANGES_MAX: usize = 32;

record! {
    /// A service and the content hash under which its value is published.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ManifestEntry {
        /// The service.
        pub service: ServiceName,
        /// The content hash of its value.
        pub hash: ContentHash,
    }
}

record! {
    /// All services of one version.
    #[derive(Default, Eq)]
    pub struct Manifest {
        /// The version.
        pub version: Version,
        /// The services, sorted by name.
        pub entries: Vec<ManifestEntry>,
    }
}

impl Manifest {
    /// Returns the hash over all entries, which identifies the content.
    #[must_use]
    pub fn root(&self) -> ContentHash {
        let text: String =
            self.entries.iter().map(|entry| format!("{} {}\n", entry.service, entry.hash)).collect();
        ContentHash::of(text)
    }

    /// Applies the next change; returns `false` if it does not start from this version.
    pub fn apply(&mut self, change: &ConfigChange) -> bool {
        if change.from != self.version {
            return false;
        }
        for entry in &change.set {
            match self.entries.binary_search_by(|e| e.service.cmp(&entry.service)) {
                Ok(at) => self.entries[at] = entry.clone(),
                Err(at) => self.entries.insert(at, entry.clone()),
            }
        }
        self.entries.retain(|entry| change.removed.binary_search(&entry.service).is_err());
        self.version = change.version;
        true
    }
}

record! {
    /// The changes from one version to the next.
    #[derive(Eq)]
    pub struct ConfigChange {
        /// The version that this change leads to.
        pub version: Version,
        /// The version that it starts from.
        pub from: Version,
        /// The hash over all services after the change.
        pub root: ContentHash,
        /// Services added or changed, sorted by name.
        pub set: Vec<ManifestEntry>,
        /// Services removed, sorted by name.
        pub removed: Vec<ServiceName>,
    }
}

record! {
    /// The newest version and the recent changes that led to it.
    #[derive(Default, Eq)]
    pub struct Head {
        /// The newest version.
        pub version: Version,
        /// The hash over all its services.
        pub root: ContentHash,
        /// The last changes, oldest first, at most [`RECENT_CHANGES_MAX`].
        pub recent: Vec<ConfigChange>,
    }
}

impl Head {
    /// Returns the head after `change`; the oldest change is dropped if there are too many.
    #[must_use]
    pub fn with_change(&self, change: ConfigChange) -> Self {
        let mut recent = self.recent.clone();
        let (version, root) = (change.version, change.root);
        recent.push(change);
        let excess = recent.len().saturating_sub(RECENT_CHANGES_MAX);
        recent.drain(..excess);
        Self { version, root, recent }
    }

    /// Returns the head with only the changes after `version`, for a peer that has that version.
    #[must_use]
    pub fn with_changes_since(&self, version: Version) -> Self {
        let recent = self.recent.iter().filter(|change| change.version > version).cloned().collect();
        Self { version: self.version, root: self.root, recent }
    }

    /// Returns this head, completed with the earlier changes that `older` carries.
    #[must_use]
    pub fn with_history(&self, older: &Self) -> Self {
        let first = self.recent.first().map_or(self.version, |change| change.version);
        let mut recent: Vec<ConfigChange> =
            older.recent.iter().filter(|change| change.version < first).cloned().collect();
        recent.extend(self.recent.iter().cloned());
        let excess = recent.len().saturating_sub(RECENT_CHANGES_MAX);
        recent.drain(..excess);
        Self { version: self.version, root: self.root, recent }
    }

    /// Returns whether this head replaces one with the given version and root.
    ///
    /// Two contents of the same version are ordered by hash, so that after a race
    /// between two publishers all hosts settle on the same content.
    #[must_use]
    pub fn supersedes(&self, version: Version, root: ContentHash) -> bool {
        (self.version, self.root) > (version, root)
    }

    /// Advances a manifest to this head; returns `false` if the head's changes do not reach back
    /// to the manifest's version.
    pub fn advance(&self, manifest: &mut Manifest) -> bool {
        let mut next = manifest.clone();
        for change in self.recent.iter().filter(|change| change.version > manifest.version) {
            if !next.apply(change) {
                return false;
            }
        }
        if next.version != self.version || next.root() != self.root {
            return false;
        }
        *manifest = next;
        true
    }
}
