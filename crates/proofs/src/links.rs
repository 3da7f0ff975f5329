//! Forwarders between the hosts of a fleet.

use std::{net::IpAddr, time::Duration};

use crate::{
    Forwarder, Passing, Role,
    network::{Network, data_centre_of},
};

const ROLES: [Role; 3] = [Role::Agent, Role::Relay, Role::Entry];

/// One forwarder before each daemon, at the address that the host list names.
#[derive(Debug)]
pub(crate) struct Links {
    network: Network,
    hosts: Vec<Vec<Forwarder>>,
}

impl Links {
    pub(crate) async fn open(network: Network, count: usize) -> Self {
        let mut hosts = Vec::new();
        for host in 0..count {
            let mut forwarders = Vec::new();
            for role in ROLES {
                let listed = network.listed(host, role, true);
                forwarders.push(Forwarder::bind(listed, network.listed(host, role, false)).await);
            }
            hosts.push(forwarders);
        }
        Self { network, hosts }
    }

    /// Lets the hosts of one side reach no other host, and no other host reach them.
    pub(crate) fn part(&self, side: &[usize], passing: Passing) {
        for (host, forwarders) in self.hosts.iter().enumerate() {
            let is_there = side.contains(&host);
            let others: Vec<IpAddr> = (0..self.hosts.len())
                .filter(|other| side.contains(other) != is_there)
                .map(|other| self.network.host(other))
                .collect();
            for forwarder in forwarders {
                forwarder.set_for(others.iter().copied(), passing);
            }
        }
    }

    /// Delays messages between data centres, each way.
    pub(crate) fn delay_between_data_centres(&self, one_way: Duration) {
        for (host, forwarders) in self.hosts.iter().enumerate() {
            let others: Vec<IpAddr> = (0..self.hosts.len())
                .filter(|other| data_centre_of(*other) != data_centre_of(host))
                .map(|other| self.network.host(other))
                .collect();
            for forwarder in forwarders {
                forwarder.set_for(others.iter().copied(), Passing::Delayed(one_way));
            }
        }
    }

    pub(crate) fn heal(&self) {
        self.hosts.iter().flatten().for_each(|forwarder| forwarder.set(Passing::Open));
    }
}
