//! The format of declaration files, with the position of each part for error messages.

use std::net::SocketAddr;

use egret_model::{
    BlockName, ClassName, DataCentre, GroupName, HostName, ReplicaName, ServiceName, ShardName,
};
use serde::Deserialize;
use toml::Spanned;

use crate::BelowMinimum;

const DEFAULT_HEDGE_PERCENT: f64 = 2.0;
const DEFAULT_RETRY_PERCENT: f64 = 10.0;

fn default_hedge_percent() -> Spanned<f64> {
    Spanned::new(0..0, DEFAULT_HEDGE_PERCENT)
}

fn default_retry_percent() -> Spanned<f64> {
    Spanned::new(0..0, DEFAULT_RETRY_PERCENT)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Declaration {
    pub(crate) service: Spanned<ServiceName>,
    pub(crate) group: GroupName,
    pub(crate) block: Option<BlockName>,
    pub(crate) slots: Spanned<u16>,
    pub(crate) connections: Spanned<u16>,
    #[serde(default = "default_hedge_percent")]
    pub(crate) hedge_percent: Spanned<f64>,
    #[serde(default = "default_retry_percent")]
    pub(crate) retry_percent: Spanned<f64>,
    #[serde(default, rename = "class")]
    pub(crate) classes: Vec<Spanned<ClassDeclaration>>,
    #[serde(default, rename = "replica")]
    pub(crate) replicas: Vec<Spanned<ReplicaDeclaration>>,
    #[serde(default, rename = "placement")]
    pub(crate) placements: Vec<Spanned<PlacementDeclaration>>,
    #[serde(default, rename = "snapshot")]
    pub(crate) snapshots: Vec<Spanned<SnapshotDeclaration>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClassDeclaration {
    pub(crate) name: ClassName,
    pub(crate) rank: u8,
    pub(crate) time_budget_ms: u32,
    pub(crate) min_coverage: f64,
    #[serde(default)]
    pub(crate) below_minimum: BelowMinimum,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ReplicaDeclaration {
    pub(crate) name: ReplicaName,
    pub(crate) address: SocketAddr,
    pub(crate) host: HostName,
    pub(crate) data_centre: DataCentre,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlacementDeclaration {
    pub(crate) id: u64,
    pub(crate) shards: Vec<Spanned<ShardDeclaration>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ShardDeclaration {
    pub(crate) name: ShardName,
    pub(crate) replicas: Vec<ReplicaName>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotDeclaration {
    pub(crate) id: u64,
    pub(crate) placement: u64,
}
