//! The hosts among which the limits that targets state are divided.

use std::{net::SocketAddr, sync::Arc};

use egret_policy::LimitShare;
use egret_routes::Replica;

/// The hosts among which the limits that targets state are divided, by the addresses at which they gather.
///
/// It is empty while this host may not know the fleet; it has no share of any limit then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LimitSharers {
    /// All live hosts.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The gatherers, each with its data centre.
    pub(crate) gatherers: Vec<(SocketAddr, Arc<str>)>,
}

impl LimitSharers {
    /// Returns the place of host `own` among those that send requests to a replica.
    ///
    /// Shards get their requests from the gatherers of their data centre, since those of others ask
    /// these for the parts.
    pub(crate) fn share(&self, own: SocketAddr, replica: &Replica, is_shard: bool) -> LimitShare {
        if !is_shard {
            return LimitShare::of(own, &replica.id, &self.hosts);
        }
        let of = |is_used: &dyn Fn(&str) -> bool| -> Vec<SocketAddr> {
            let used = self.gatherers.iter().filter(|(_, data_centre)| is_used(data_centre));
            used.map(|(address, _)| *address).collect()
        };
        let near = of(&|data_centre| *data_centre == *replica.data_centre);
        let sharing = if near.is_empty() { of(&|_| true) } else { near };
        LimitShare::of(own, &replica.id, &sharing)
    }
}
