//! Assigns the loopback addresses of a test fleet.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

use egret_conf::{Host, HostList, HostState};
use egret_model::{DataCentre, HostName};

use crate::Role;

const PLATFORM_PORT: u16 = 7000;
const TARGET_PORT: u16 = 7100;
const INTERNAL_PORT: u16 = 7200;
const RELAY_PORT: u16 = 7300;
const AGENT_PORT: u16 = 7400;
const ENTRY_PORT: u16 = 8080;
const SPARE_PORT: u16 = 9000;
const FIRST_HOST: u8 = 10;
/// The last octet of host 0's forwarders, if the fleet has forwarders.
const FIRST_FORWARDER: u8 = 100;

pub(crate) const DATA_CENTRES: [&str; 3] = ["seeb", "rusayl", "barka"];

/// Returns the number of the data centre of the host or replica with the given number.
pub(crate) fn data_centre_of(number: usize) -> usize {
    number % DATA_CENTRES.len()
}

static ALLOCATED_FLEETS: AtomicU8 = AtomicU8::new(0);

/// The first three octets of a fleet's addresses; ports and last octets are the same in all fleets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AddressPlan([u8; 3]);

impl AddressPlan {
    /// Returns addresses for a new fleet, distinct from those of fleets in other test processes.
    ///
    /// They are derived from the process id modulo 1024, so that two processes whose ids
    /// differ by a multiple of it could collide.
    pub(crate) fn allocate() -> Self {
        let process = std::process::id();
        let second = 64 + (process % 128) as u8;
        let third = (process / 128 % 8) as u8 * 32 + ALLOCATED_FLEETS.fetch_add(1, Ordering::SeqCst) % 32;
        Self([127, second, third])
    }

    /// Returns the addresses of simulated fleets, which open no sockets.
    pub(crate) fn simulated() -> Self {
        Self([127, 0, 0])
    }

    pub(crate) fn platform(self) -> SocketAddr {
        self.address(1, PLATFORM_PORT)
    }

    pub(crate) fn target(self, number: usize) -> SocketAddr {
        self.address(2, TARGET_PORT + number as u16)
    }

    pub(crate) fn spare(self, number: u16) -> SocketAddr {
        self.address(3, SPARE_PORT + number)
    }

    /// Returns the IP address of a host.
    pub(crate) fn host(self, host: usize) -> IpAddr {
        let Self([a, b, c]) = self;
        let last = usize::from(FIRST_HOST) + host;
        IpAddr::V4(Ipv4Addr::new(a, b, c + (last / 256) as u8, (last % 256) as u8))
    }

    pub(crate) fn daemon(self, host: usize, role: Role) -> SocketAddr {
        SocketAddr::new(self.host(host), port(role))
    }

    pub(crate) fn internal(self, host: usize) -> SocketAddr {
        SocketAddr::new(self.host(host), INTERNAL_PORT)
    }

    /// Returns the address that the host list gives for a daemon; for an entry its internal one.
    ///
    /// With `has_forwarders` it is the address of the daemon's forwarder.
    pub(crate) fn advertised(self, host: usize, role: Role, has_forwarders: bool) -> SocketAddr {
        let port = if role == Role::Entry { INTERNAL_PORT } else { port(role) };
        let IpAddr::V4(ip) = self.host(host) else { unreachable!("hosts have IPv4 addresses") };
        let [a, b, c, last] = ip.octets();
        let last = if has_forwarders { last + FIRST_FORWARDER - FIRST_HOST } else { last };
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, last)), port)
    }

    pub(crate) fn host_list(self, hosts: usize, has_forwarders: bool) -> HostList {
        let host = |number: usize| Host {
            name: HostName::new(format!("host-{number}")).expect("the name is valid"),
            data_centre: DataCentre::new(DATA_CENTRES[data_centre_of(number)]).expect("the name is valid"),
            state: HostState::Live,
            agent: Some(self.advertised(number, Role::Agent, has_forwarders)),
            relay: Some(self.advertised(number, Role::Relay, has_forwarders)),
            entry: Some(self.advertised(number, Role::Entry, has_forwarders)),
        };
        HostList { revision: 1, hosts: (0..hosts).map(host).collect() }
    }

    fn address(self, last: u8, port: u16) -> SocketAddr {
        let Self([a, b, c]) = self;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, last)), port)
    }
}

fn port(role: Role) -> u16 {
    match role {
        Role::Agent => AGENT_PORT,
        Role::Relay => RELAY_PORT,
        Role::Entry => ENTRY_PORT,
    }
}
