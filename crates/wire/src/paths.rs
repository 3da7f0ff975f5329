//! The paths of all HTTP interfaces and the keys in the platform's configuration service.

/// Takes queries from callers.
pub const QUERY_PATH: &str = "/v1/query";
/// Issues tickets to callers.
pub const TICKET_PATH: &str = "/v1/ticket";
/// Readiness check: whether a process takes work.
pub const READY_PATH: &str = "/ready";
/// Liveness check: whether a process runs at all.
pub const LIVE_PATH: &str = "/live";
/// Serves metrics for scraping.
pub const METRICS_PATH: &str = "/metrics";
/// Serves the process's event journal as JSON.
pub const EVENTS_PATH: &str = "/events";

/// The path at which targets run sub-requests.
pub const SEARCH_PATH: &str = "/v1/search";
/// The path at which targets cancel sub-requests.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// The path at which targets report their health.
pub const HEALTH_PATH: &str = "/v1/health";

/// The path at which relays take their parts of queries from entries.
pub const SCATTER_PATH: &str = "/internal/scatter";
/// The path at which relays say whether they would refuse parts of a query, without running any.
pub const PREFLIGHT_PATH: &str = "/internal/preflight";
/// The path at which an entry takes requests whose ticket it issued, forwarded by other entries.
pub const FORWARD_PATH: &str = "/internal/forward";
/// The path at which relays exchange [`RelayGossip`](crate::RelayGossip).
pub const NOTICE_PATH: &str = "/internal/notice";
/// The path at which agents exchange their states.
pub const PEER_PATH: &str = "/internal/peer";
/// The path at which agents fetch published values from each other.
pub const PEER_VALUE_PATH: &str = "/internal/value";
/// The path at which an agent serves its state to the entry and the relay of its host, as a long poll.
pub const STATE_PATH: &str = "/internal/state";

/// The path below which the platform serves the values of its keys.
pub const CONFIG_PATH: &str = "/config";
/// The key of the configuration's head: its newest version and recent changes.
pub const CONFIG_HEAD_KEY: &str = "head";
/// The key of the configuration's manifest: all services with the hashes of their values.
pub const CONFIG_MANIFEST_KEY: &str = "manifest";
/// The prefix of the keys of published values; the content hash of the value follows.
pub const CONFIG_VALUE_PREFIX: &str = "value.";
/// The key of the list of hosts.
pub const HOSTS_KEY: &str = "hosts";
