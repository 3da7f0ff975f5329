//! Putting a configuration and a host list on a stand-in platform.

use egret_conf::{Config, Head, HostList};
use egret_wire::{CONFIG_HEAD_KEY, CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX, HOSTS_KEY};

use crate::Platform;

/// Publishes a configuration after `older`, values first and the head last.
///
/// # Panics
/// Never: heads and manifests have a JSON form.
pub fn publish_config(platform: &Platform, config: &Config, older: Option<(&Config, &Head)>) -> Head {
    for service in config.services() {
        platform.put(&format!("{CONFIG_VALUE_PREFIX}{}", service.hash()), &service.to_value());
    }
    let manifest = serde_json::to_string(&config.manifest()).expect("manifests have a JSON form");
    platform.put(CONFIG_MANIFEST_KEY, &manifest);
    let head = match older {
        Some((older, head)) => head.with_change(config.change_from(older)),
        None => Head { version: config.version(), root: config.root(), recent: Vec::new() },
    };
    platform.put(CONFIG_HEAD_KEY, &serde_json::to_string(&head).expect("heads have a JSON form"));
    head
}

/// Publishes a host list.
///
/// # Panics
/// Never: host lists have a JSON form.
pub fn publish_hosts(platform: &Platform, hosts: &HostList) {
    platform.put(HOSTS_KEY, &serde_json::to_string(hosts).expect("host lists have a JSON form"));
}
