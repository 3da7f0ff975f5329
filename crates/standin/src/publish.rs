//! Storing a configuration and a host list on a stand-in platform.

use egret_conf::{Config, Head, HostList};
use egret_wire::{CONFIG_HEAD_KEY, CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX, HOSTS_KEY};

use crate::Platform;

/// Stores a configuration on the platform and returns its head.
///
/// The values are stored first and the head last, so that no reader sees a head whose
/// values are missing. With `older`, the head extends the older head by the change
/// between the two configurations.
///
/// # Panics
/// Does not panic: heads and manifests are serialisable.
pub fn publish_config(platform: &Platform, config: &Config, older: Option<(&Config, &Head)>) -> Head {
    for service in config.services() {
        platform.put(&format!("{CONFIG_VALUE_PREFIX}{}", service.hash()), &service.to_value());
    }
    let manifest = serde_json::to_string(&config.manifest()).expect("manifests are serialisable");
    platform.put(CONFIG_MANIFEST_KEY, &manifest);
    let head = match older {
        Some((older, head)) => head.with_change(config.change_from(older)),
        None => Head { version: config.version(), root: config.root(), recent: Vec::new() },
    };
    platform.put(CONFIG_HEAD_KEY, &serde_json::to_string(&head).expect("heads are serialisable"));
    head
}

/// Stores a host list on the platform.
///
/// # Panics
/// Does not panic: host lists are serialisable.
pub fn publish_hosts(platform: &Platform, hosts: &HostList) {
    platform.put(HOSTS_KEY, &serde_json::to_string(hosts).expect("host lists are serialisable"));
}
