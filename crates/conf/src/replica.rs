//! A declared replica of a service; each is one licensed copy of its target.

use std::net::SocketAddr;

use egret_model::{DataCentre, HostName, ReplicaName, record};

record! {
    /// A target that serves some shards of its service.
    #[derive(Eq)]
    pub struct Replica {
        /// The replica's name within its service.
        pub name: ReplicaName,
        /// The address at which the target listens.
        pub address: SocketAddr,
        /// The host that the target runs on.
        pub host: HostName,
        /// The data centre of that host.
        pub data_centre: DataCentre,
    }
}
