//! The platform's list of live and leaving hosts.

use std::net::SocketAddr;

use egret_model::{DataCentre, HostName, record};

record! {
    /// Whether a host is live or being replaced.
    pub enum HostState {
        /// The host serves requests.
        Live,
        /// The host is being replaced and accepts no new requests.
        Leaving,
    }
}

record! {
    /// A host; if it runs daemons of this system, it has their addresses.
    #[derive(Eq)]
    pub struct Host {
        /// The host's name.
        pub name: HostName,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Whether it is live or leaving.
        pub state: HostState,
        /// The address of its agent.
        pub agent: Option<SocketAddr>,
        /// The address of its relay.
        pub relay: Option<SocketAddr>,
        /// The address at which its entry listens for other processes of the system.
        pub entry: Option<SocketAddr>,
    }
}

record! {
    /// All hosts at one revision.
    #[derive(Default, Eq)]
    pub struct HostList {
        /// The revision of the list; a greater one is newer.
        pub revision: u64,
        /// The hosts, sorted by name.
        pub hosts: Vec<Host>,
    }
}

impl HostList {
    /// Sorts the hosts by name, which the other methods rely on.
    pub fn sort(&mut self) {
        self.hosts.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Finds a host by name.
    #[must_use]
    pub fn host(&self, name: &HostName) -> Option<&Host> {
        let at = self.hosts.binary_search_by(|host| host.name.cmp(name)).ok()?;
        Some(&self.hosts[at])
    }

    /// Returns whether a host is listed as leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &HostName) -> bool {
        self.host(name).is_some_and(|host| host.state == HostState::Leaving)
    }
}
