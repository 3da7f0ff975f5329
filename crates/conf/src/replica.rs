//! One licensed copy of a service's target.

use std::net::SocketAddr;

use egret_model::{DataCentre, HostName, ReplicaName, record};

record! {
    /// A target that serves some shards of its service.
    #[derive(Eq)]
    pub struct Replica {
        /// The replica's name in its service.
        pub name: ReplicaName,
        /// Where the target listens.
        pub address: SocketAddr,
        /// The host that the target runs on.
        pub host: HostName,
        /// The data centre of that host.
        pub data_centre: DataCentre,
    }
}
