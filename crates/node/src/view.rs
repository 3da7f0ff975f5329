//! One immutable view of configuration and hosts.

use std::sync::Arc;

use egret_conf::{Config, HostList, HostState};
use egret_model::{BlockName, DataCentre};
use egret_policy::{RelayHost, owner_candidates};
use egret_wire::LocalState;

/// A block with the relays that may own it.
#[derive(Clone, Debug)]
pub struct Block {
    /// The block.
    pub name: BlockName,
    /// Candidates among the hosts that stay, best first.
    pub live: Vec<RelayHost>,
    /// Candidates among all hosts, those that leave included.
    ///
    /// A relay that leaves still serves entries that have not heard of it.
    pub all: Vec<RelayHost>,
}

impl Block {
    /// Returns the candidates to ask, best first: those that stay, or all where none does.
    #[must_use]
    pub fn candidates(&self) -> &[RelayHost] {
        if self.live.is_empty() { &self.all } else { &self.live }
    }

    /// Tells whether a relay may own the block, by this view.
    #[must_use]
    pub fn is_candidate(&self, host: &str) -> bool {
        self.live.iter().chain(&self.all).any(|candidate| candidate.host.as_str() == host)
    }
}

/// What a process knows of configuration and hosts.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Config,
    /// The host list in force.
    pub hosts: HostList,
    blocks: Vec<Block>,
}

impl View {
    /// Builds a view and works out every block's candidates once.
    #[must_use]
    pub fn new(state: LocalState) -> Self {
        let services = state.services.into_iter().map(Arc::new).collect();
        let config = Config::new(state.version, services);
        let blocks = blocks(&config, &state.hosts);
        Self { config, hosts: state.hosts, blocks }
    }

    /// Finds a block.
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

    /// Tells whether a newer state than this one is offered.
    #[must_use]
    pub fn is_behind(&self, state: &LocalState) -> bool {
        let newer_config = (state.version, state.root) > (self.config.version(), self.config.root());
        newer_config || state.hosts.revision > self.hosts.revision
    }

    /// Tells whether a state would take this view back to an older version.
    #[must_use]
    pub fn is_ahead_of(&self, state: &LocalState) -> bool {
        let older_config = (state.version, state.root) < (self.config.version(), self.config.root());
        older_config || state.hosts.revision < self.hosts.revision
    }
}

fn relay_hosts(hosts: &HostList, with_leaving: bool) -> Vec<RelayHost> {
    let wanted = |state: HostState| with_leaving || state == HostState::Live;
    hosts
        .hosts
        .iter()
        .filter(|host| wanted(host.state))
        .filter_map(|host| {
            let relay = host.relay?;
            Some(RelayHost { host: host.name.clone(), data_centre: host.data_centre.clone(), relay })
        })
        .collect()
}

fn blocks(config: &Config, hosts: &HostList) -> Vec<Block> {
    let mut places: Vec<(BlockName, DataCentre)> = config
        .services()
        .iter()
        .flat_map(|service| service.replicas.iter().map(|r| (service.block.clone(), r.data_centre.clone())))
        .collect();
    places.sort();
    places.dedup();
    let live = relay_hosts(hosts, false);
    let all = relay_hosts(hosts, true);
    places
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
