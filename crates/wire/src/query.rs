//! The query that a caller sends.

use egret_model::{ClassName, GroupName, ServiceName, ShardId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The JSON body of a caller's query; docs/API.md describes each field.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The group whose services are searched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupName>,
    /// Services that are searched in addition to those of the group.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceName>,
    /// The shards that are searched; empty means all shards of the services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardId>,
    /// The class of work, which sets priority and defaults.
    pub class: ClassName,
    /// The request body for the targets, passed through unparsed.
    pub body: Box<RawValue>,
    /// The time budget in milliseconds; the default is that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_ms: Option<u32>,
    /// The minimum share of shards that an answer must cover; the default is that of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_coverage: Option<f64>,
    /// Whether the request may safely be run more than once.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// The ticket of a non-idempotent request, by which the entries run it at most once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

fn idempotent_by_default() -> bool {
    true
}
