//! The collected configuration, immutable once built.

use std::sync::Arc;

use derive_more::{Display, Error};
use egret_model::{GroupName, ServiceName, Version, record};

use crate::{ConfigChange, ContentHash, Manifest, ManifestEntry, Service};

/// One version of the whole configuration.
///
/// Clones share the services, so that a reader can keep its version while a newer one arrives.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: Version,
    services: Vec<Arc<Service>>,
    root: ContentHash,
}

impl Config {
    /// Builds a configuration from checked services.
    #[must_use]
    pub fn new(version: Version, mut services: Vec<Arc<Service>>) -> Self {
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut config = Self { version, services, root: ContentHash::default() };
        config.root = config.manifest().root();
        config
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the hash over all services, which identifies the content.
    #[must_use]
    pub fn root(&self) -> ContentHash {
        self.root
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        let at = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Lists the services of a group, sorted by name.
    pub fn group(&self, name: &GroupName) -> impl Iterator<Item = &Arc<Service>> {
        self.services.iter().filter(move |service| service.group == *name)
    }

    /// Returns the names and content hashes of all services.
    #[must_use]
    pub fn manifest(&self) -> Manifest {
        let entries = self
            .services
            .iter()
            .map(|service| ManifestEntry { service: service.name.clone(), hash: service.hash() })
            .collect();
        Manifest { version: self.version, entries }
    }

    /// Returns the change that leads from an older configuration to this one.
    #[must_use]
    pub fn change_from(&self, older: &Self) -> ConfigChange {
        let old = older.manifest().entries;
        let new = self.manifest().entries;
        let set = new.iter().filter(|entry| old.binary_search(entry).is_err()).cloned().collect();
        let removed = old
            .iter()
            .filter(|entry| self.service(&entry.service).is_none())
            .map(|entry| entry.service.clone())
            .collect();
        ConfigChange { version: self.version, from: older.version, root: self.root, set, removed }
    }

    /// Lists the services that differ from an older configuration.
    #[must_use]
    pub fn difference(&self, older: &Self) -> Difference {
        let change = self.change_from(older);
        let (changed, added) =
            change.set.into_iter().map(|entry| entry.service).partition(|name| older.service(name).is_some());
        Difference { from: older.version, to: self.version, added, changed, removed: change.removed }
    }

    /// Parses a collected configuration as `egret-publish` writes it.
    ///
    /// # Errors
    /// Fails if the text is not a collected configuration or its content does not match its hash.
    pub fn from_collected(text: &str) -> Result<Self, ConfigError> {
        let collected: Collected =
            serde_json::from_str(text).map_err(|error| ConfigError { reason: error.to_string() })?;
        let config = Self::new(collected.version, collected.services.into_iter().map(Arc::new).collect());
        if config.root != collected.root {
            return Err(ConfigError { reason: "its content does not match its hash".to_owned() });
        }
        Ok(config)
    }

    /// Serialises the configuration as `egret-publish` writes it.
    ///
    /// # Panics
    /// Never: a validated configuration can always be serialised as JSON.
    #[must_use]
    pub fn to_collected(&self) -> String {
        let services = self.services.iter().map(|service| Service::clone(service)).collect();
        let collected = Collected { version: self.version, root: self.root, services };
        serde_json::to_string_pretty(&collected).expect("a validated configuration can be serialised as JSON")
    }
}

record! {
    /// The file format of a collected configuration.
    pub struct Collected {
        version: Version,
        root: ContentHash,
        services: Vec<Service>,
    }
}

record! {
    /// The services that differ between two versions.
    #[derive(Eq)]
    pub struct Difference {
        /// The older version.
        pub from: Version,
        /// The newer version.
        pub to: Version,
        /// Services only in the newer version.
        pub added: Vec<ServiceName>,
        /// Services in both versions whose content differs.
        pub changed: Vec<ServiceName>,
        /// Services only in the older version.
        pub removed: Vec<ServiceName>,
    }
}

/// The text is not a valid collected configuration.
#[derive(Clone, Debug, Display, Error)]
#[display("not a collected configuration ({reason}): give a file that egret-publish wrote")]
pub struct ConfigError {
    #[error(not(source))]
    reason: String,
}
