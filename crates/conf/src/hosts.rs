//! The platform's list of live and leaving hosts.

use std::net::SocketAddr;

use egret_model::{DataCentre, HostName, record};

record! {
    /// Whether a host stays.
    pub enum HostState {
        /// The host serves.
        Live,
        /// The host is being replaced and takes no new work.
        Leaving,
    }
}

record! {
    /// One host; a host of the system has the addresses of its daemons.
    #[derive(Eq)]
    pub struct Host {
        /// The host's name.
        pub name: HostName,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Whether it stays.
        pub state: HostState,
        /// Where its agent listens.
        pub agent: Option<SocketAddr>,
        /// Where its relay listens.
        pub relay: Option<SocketAddr>,
        /// Where its entry listens for other processes of the system.
        pub entry: Option<SocketAddr>,
    }
}

record! {
    /// All hosts at one revision.
    #[derive(Default, Eq)]
    pub struct HostList {
        /// Counts the changes of the list; a greater one is newer.
        pub revision: u64,
        /// The hosts, sorted by name.
        pub hosts: Vec<Host>,
    }
}

impl HostList {
    /// Sorts the hosts, as every reader expects.
    pub fn sort(&mut self) {
        self.hosts.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Finds a host.
    #[must_use]
    pub fn host(&self, name: &HostName) -> Option<&Host> {
        let at = self.hosts.binary_search_by(|host| host.name.cmp(name)).ok()?;
        Some(&self.hosts[at])
    }

    /// Tells whether the list says that a host is leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &HostName) -> bool {
        self.host(name).is_some_and(|host| host.state == HostState::Leaving)
    }
}
