//! The paths of all HTTP interfaces and the keys at the platform.

/// Callers send queries here.
pub const QUERY_PATH: &str = "/v1/query";
/// Callers fetch tickets here.
pub const TICKET_PATH: &str = "/v1/ticket";
/// Tells whether a process takes work.
pub const READY_PATH: &str = "/ready";
/// Tells whether a process lives.
pub const LIVE_PATH: &str = "/live";
/// Returns metrics for scraping.
pub const METRICS_PATH: &str = "/metrics";
/// Returns the journal as JSON.
pub const EVENTS_PATH: &str = "/events";

/// Targets run sub-requests here.
pub const SEARCH_PATH: &str = "/v1/search";
/// Targets cancel sub-requests here.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Targets report their health here.
pub const HEALTH_PATH: &str = "/v1/health";

/// Entries send parts of queries to relays here.
pub const SCATTER_PATH: &str = "/internal/scatter";
/// Entries ask relays here whether they would refuse parts of a query, without running any.
pub const PREFLIGHT_PATH: &str = "/internal/preflight";
/// Entries pass requests with a ticket to the entry that minted it here.
pub const FORWARD_PATH: &str = "/internal/forward";
/// Relays tell each other what only one of them has seen here.
pub const NOTICE_PATH: &str = "/internal/notice";
/// Agents exchange their states here.
pub const PEER_PATH: &str = "/internal/peer";
/// Agents fetch published values from each other here.
pub const PEER_VALUE_PATH: &str = "/internal/value";
/// Entries and relays follow their host's agent here.
pub const STATE_PATH: &str = "/internal/state";

/// The platform serves its keys below this path.
pub const CONFIG_PATH: &str = "/config";
/// The key of the configuration's head.
pub const CONFIG_HEAD_KEY: &str = "head";
/// The key of the configuration's manifest.
pub const CONFIG_MANIFEST_KEY: &str = "manifest";
/// The prefix of the keys of published values; the content hash follows.
pub const CONFIG_VALUE_PREFIX: &str = "value.";
/// The key of the host list.
pub const HOSTS_KEY: &str = "hosts";
