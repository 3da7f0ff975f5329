//! An immutable view of configuration and hosts.

use std::sync::Arc;

use egret_conf::{Config, HostList, HostState};
use egret_model::{BlockName, DataCentre};
use egret_policy::{RelayHost, owner_candidates};
use egret_wire::LocalState;

/// A block of services with the relays that are candidates to own its target connections.
#[derive(Clone, Debug)]
pub struct Block {
    /// The name of the block.
    pub name: BlockName,
    /// The candidates among the hosts that are not leaving, in order of preference.
    pub live: Vec<RelayHost>,
    /// The candidates among all hosts, leaving ones included, in order of preference.
    ///
    /// A relay on a leaving host still serves entries that do not know yet that it leaves.
    pub all: Vec<RelayHost>,
}

impl Block {
    /// Returns the candidates for queries in order of preference: those on hosts that are not
    /// leaving, or all if there are none.
    #[must_use]
    pub fn candidates(&self) -> &[RelayHost] {
        if self.live.is_empty() { &self.all } else { &self.live }
    }

    /// Returns whether the relay of `host` is a candidate to own the block, leaving or not.
    #[must_use]
    pub fn is_candidate(&self, host: &str) -> bool {
        self.live.iter().chain(&self.all).any(|candidate| candidate.host.as_str() == host)
    }
}

/// The configuration and the host list in force in a process, with what is derived from both.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Config,
    /// The host list in force.
    pub hosts: HostList,
    blocks: Vec<Block>,
}

impl View {
    /// Builds a view and computes the candidates of every block, so that queries need not.
    #[must_use]
    pub fn new(state: LocalState) -> Self {
        let services = state.services.into_iter().map(Arc::new).collect();
        let config = Config::new(state.version, services);
        let blocks = blocks(&config, &state.hosts);
        Self { config, hosts: state.hosts, blocks }
    }

    /// Finds a block by its name.
    #[must_use]
    pub fn block(&self, name: &BlockName) -> Option<&Block> {
        let at = self.blocks.binary_search_by(|block| block.name.cmp(name)).ok()?;
        Some(&self.blocks[at])
    }

    /// Returns all blocks, sorted by name.
    #[must_use]
    pub fn blocks(&self) -> &[Block] {
        &self.blocks
    }

    /// Returns whether the configuration or the host list of `state` is newer than this view's.
    #[must_use]
    pub fn is_behind(&self, state: &LocalState) -> bool {
        let newer_config = (state.version, state.root) > (self.config.version(), self.config.root());
        newer_config || state.hosts.revision > self.hosts.revision
    }

    /// Returns whether the configuration or the host list of `state` is older than this view's.
    #[must_use]
    pub fn is_ahead_of(&self, state: &LocalState) -> bool {
        let older_config = (state.version, state.root) < (self.config.version(), self.config.root());
        older_config || state.hosts.revision < self.hosts.revision
    }
}

fn relay_hosts(hosts: &HostList, with_leaving: bool) -> Vec<RelayHost> {
    let is_included = |state: HostState| with_leaving || state == HostState::Live;
    hosts
        .hosts
        .iter()
        .filter(|host| is_included(host.state))
        .filter_map(|host| {
            let relay = host.relay?;
            Some(RelayHost { host: host.name.clone(), data_centre: host.data_centre.clone(), relay })
        })
        .collect()
}

fn blocks(config: &Config, hosts: &HostList) -> Vec<Block> {
    let mut block_data_centres: Vec<(BlockName, DataCentre)> = config
        .services()
        .iter()
        .flat_map(|service| service.replicas.iter().map(|r| (service.block.clone(), r.data_centre.clone())))
        .collect();
    block_data_centres.sort();
    block_data_centres.dedup();
    let live = relay_hosts(hosts, false);
    let all = relay_hosts(hosts, true);
    block_data_centres
        .chunk_by(|a, b| a.0 == b.0)
        .map(|chunk| {
            let name = chunk[0].0.clone();
            let data_centres: Vec<DataCentre> =
                chunk.iter().map(|(_, data_centre)| data_centre.clone()).collect();
            let live = owner_candidates(&name, &data_centres, &live);
            let all = owner_candidates(&name, &data_centres, &all);
            Block { name, live, all }
        })
        .collect()
}
