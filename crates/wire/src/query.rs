//! A caller's query.

use egret_model::{ClassName, GroupName, ServiceName, ShardId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A query as a caller sends it; docs/API.md describes each field.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The group whose services are asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupName>,
    /// The services that are asked, besides those of the group.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceName>,
    /// The shards that are asked; empty means all shards of the services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardId>,
    /// The class of work.
    pub class: ClassName,
    /// What the targets are asked, passed through unread.
    pub body: Box<RawValue>,
    /// The time budget in milliseconds; absent means that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_ms: Option<u32>,
    /// The least share of shards that makes an answer; absent means that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_coverage: Option<f64>,
    /// Whether running the request twice does no harm.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// The ticket of a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

fn idempotent_by_default() -> bool {
    true
}
