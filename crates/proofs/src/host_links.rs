//! The forwarders through which the hosts of a fleet reach each other.

use std::{net::IpAddr, time::Duration};

use crate::{
    Forwarder, LinkMode, Role,
    address_plan::{AddressPlan, data_centre_of},
};

const ROLES: [Role; 3] = [Role::Agent, Role::Relay, Role::Entry];

/// One forwarder in front of each daemon, at the address that the host list advertises.
#[derive(Debug)]
pub(crate) struct HostLinks {
    address_plan: AddressPlan,
    hosts: Vec<Vec<Forwarder>>,
}

impl HostLinks {
    pub(crate) async fn open(address_plan: AddressPlan, count: usize) -> Self {
        let mut hosts = Vec::new();
        for host in 0..count {
            let mut forwarders = Vec::new();
            for role in ROLES {
                let advertised = address_plan.advertised(host, role, true);
                forwarders
                    .push(Forwarder::bind(advertised, address_plan.advertised(host, role, false)).await);
            }
            hosts.push(forwarders);
        }
        Self { address_plan, hosts }
    }

    /// Sets the mode of all connections between the hosts of one side and all other hosts.
    pub(crate) fn partition(&self, side: &[usize], mode: LinkMode) {
        for (host, forwarders) in self.hosts.iter().enumerate() {
            let is_on_side = side.contains(&host);
            let others: Vec<IpAddr> = (0..self.hosts.len())
                .filter(|other| side.contains(other) != is_on_side)
                .map(|other| self.address_plan.host(other))
                .collect();
            for forwarder in forwarders {
                forwarder.set_for(others.iter().copied(), mode);
            }
        }
    }

    /// Delays the data between hosts of different data centres by `one_way` in each direction.
    pub(crate) fn delay_between_data_centres(&self, one_way: Duration) {
        for (host, forwarders) in self.hosts.iter().enumerate() {
            let others: Vec<IpAddr> = (0..self.hosts.len())
                .filter(|other| data_centre_of(*other) != data_centre_of(host))
                .map(|other| self.address_plan.host(other))
                .collect();
            for forwarder in forwarders {
                forwarder.set_for(others.iter().copied(), LinkMode::Delayed(one_way));
            }
        }
    }

    pub(crate) fn heal(&self) {
        self.hosts.iter().flatten().for_each(|forwarder| forwarder.set(LinkMode::Open));
    }
}
