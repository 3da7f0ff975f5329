//! The roles of hosts: which gather, own replicas that warm up, or share the limits of targets.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use egret_events::{Code, log_event};
use egret_members::Member;
use egret_policy::{GathererCandidate, choose_gatherers};
use egret_routes::Replica;

use super::{FleetView, JOIN_PERIOD};
use crate::limit_sharers::LimitSharers;

/// Processor time of one running gather, in thousandths of a core; gives gatherers a slot count, so
/// that hosts compare them as they compare targets.
pub(crate) const GATHER_MILLICORES: u32 = 40;

impl FleetView {
    /// Recomputes which hosts gather and which own replicas that warm up, and installs what changed.
    pub(crate) fn choose_gatherers(&mut self, now: Instant) {
        let hosts: Vec<GathererCandidate> = self.membership.live(now).map(gatherer_candidate).collect();
        let mut names: Vec<&Arc<str>> = hosts.iter().map(|host| &host.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        let port = self.core.options.gathers.port();
        let mut chosen = Vec::new();
        for name in names {
            for address in choose_gatherers(&hosts, name) {
                let host = hosts.iter().find(|host| host.address == address);
                chosen.extend(host.map(|host| gatherer_as_replica(host, port)));
            }
        }
        if chosen != self.gatherers {
            let names: Vec<&str> = chosen.iter().map(|gatherer| &*gatherer.id).collect();
            log_event(Code::GatherersChosen, "", &names.join(" "));
            self.core.set_gatherers(&chosen);
            self.gatherers = chosen;
        }
        self.core.set_limit_sharers(self.limit_sharers(now));
        let owners_changed = self.core.set_warm_up_owners(self.warm_up_owners(now));
        if owners_changed && self.table.as_ref().is_some_and(|table| table.limits_warm_up()) {
            self.core.set_replicas(&self.registry, &self.evacuations);
        }
    }

    /// Returns the hosts of this data centre that may own replicas that warm up: its gatherers, or none
    /// while this host may not know the fleet or sees no majority of the data centre.
    ///
    /// Without the majority, each host that is cut off from the others would take itself for the owner.
    fn warm_up_owners(&self, now: Instant) -> Vec<SocketAddr> {
        let own = &self.core.options.data_centre;
        if self.membership.uptime(now) < JOIN_PERIOD || !self.membership.sees_majority(own) {
            return Vec::new();
        }
        let near = self.gatherers.iter().filter(|gatherer| gatherer.data_centre == *own);
        near.map(|gatherer| gatherer.address).collect()
    }

    /// Returns the hosts among which the limits of targets are divided: those that reach the targets.
    ///
    /// A host that reaches them again waits until the others have learnt that they share with it.
    fn limit_sharers(&self, now: Instant) -> LimitSharers {
        let is_back = self.regained_targets_at.is_some_and(|at| now < at + JOIN_PERIOD);
        if self.membership.uptime(now) < JOIN_PERIOD || is_back {
            return LimitSharers::default();
        }
        let port = self.core.options.gathers.port();
        let sharing = self.membership.live(now).filter(|member| member.reaches_targets);
        let hosts = sharing.map(|member| SocketAddr::new(member.address.ip(), port)).collect();
        let gatherer = |gatherer: &Replica| (gatherer.address, Arc::clone(&gatherer.data_centre));
        LimitSharers { hosts, gatherers: self.gatherers.iter().map(gatherer).collect() }
    }
}

fn gatherer_candidate(member: &Member) -> GathererCandidate {
    GathererCandidate {
        address: member.address,
        data_centre: Arc::clone(&member.data_centre),
        millicores: member.millicores,
        parts_per_s: member.parts_per_s,
        reaches_targets: member.reaches_targets,
    }
}

/// Describes a gatherer as a replica, so that hosts choose among gatherers as among targets.
fn gatherer_as_replica(host: &GathererCandidate, port: u16) -> Replica {
    let address = SocketAddr::new(host.address.ip(), port);
    Replica {
        id: address.to_string().into(),
        service: Arc::clone(&host.data_centre),
        address,
        data_centre: Arc::clone(&host.data_centre),
        slots: (host.millicores / GATHER_MILLICORES).max(1),
        draining: false,
        warm_up_ms: 0,
        started_at_ms: 0,
        report_number: 0,
    }
}
