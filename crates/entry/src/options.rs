//! The options of an entry.

use std::{net::SocketAddr, time::Duration};

use egret_node::HttpClient;

/// The maximum number of idle connections that are kept to one relay or entry.
const IDLE_CONNECTIONS: usize = 256;
const DEFAULT_TICKET_LIFETIME: Duration = Duration::from_secs(120);
const DEFAULT_USED_TICKETS_MAX: usize = 100_000;
const DEFAULT_TICKET_ANSWERS_MAX: usize = 4096;
const DEFAULT_SHARDS_MAX: usize = 10_000;
const DEFAULT_BUDGET_MAX: Duration = Duration::from_secs(60);

/// The options of one entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address at which other processes of the system reach the entry.
    pub internal_address: SocketAddr,
    /// The HTTP client for relays and other entries.
    pub client: HttpClient,
    /// How long a ticket is valid.
    pub ticket_lifetime: Duration,
    /// The maximum number of used tickets that are kept; further non-idempotent requests are refused.
    pub used_tickets_max: usize,
    /// The maximum number of used tickets whose answers are kept.
    pub ticket_answers_max: usize,
    /// The maximum number of shards in one query.
    pub shards_max: usize,
    /// The longest time budget that a caller may set.
    pub budget_max: Duration,
    /// The only relay that is sent queries, in place of the owners; for benchmarks only.
    pub bench_relay: Option<SocketAddr>,
}

impl Options {
    /// Creates options with defaults for all but the addresses.
    ///
    /// Connections are opened from `listen`, which differs from `internal` only where
    /// others reach the entry at another address than the one that it binds.
    #[must_use]
    pub fn new(internal: SocketAddr, listen: SocketAddr) -> Self {
        Self {
            internal_address: internal,
            client: HttpClient::open_from(IDLE_CONNECTIONS, listen),
            ticket_lifetime: DEFAULT_TICKET_LIFETIME,
            used_tickets_max: DEFAULT_USED_TICKETS_MAX,
            ticket_answers_max: DEFAULT_TICKET_ANSWERS_MAX,
            shards_max: DEFAULT_SHARDS_MAX,
            budget_max: DEFAULT_BUDGET_MAX,
            bench_relay: None,
        }
    }
}
