//! What an entry must know before it starts.

use std::{net::SocketAddr, time::Duration};

use egret_node::HttpClient;

const IDLE_CONNECTIONS: usize = 256;
const TICKET_LIFETIME: Duration = Duration::from_secs(120);
const TICKETS_MAX: usize = 100_000;
const TICKET_ANSWERS_MAX: usize = 4096;
const SHARDS_MAX: usize = 10_000;
const BUDGET_MAX: Duration = Duration::from_secs(60);

/// The options of one entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the entry listens for other processes of the system.
    pub internal: SocketAddr,
    /// The client for relays and other entries.
    pub client: HttpClient,
    /// For how long a ticket is valid.
    pub ticket_lifetime: Duration,
    /// Used tickets that are remembered; more non-idempotent work is refused.
    pub tickets_max: usize,
    /// Answers of tickets that are remembered.
    pub ticket_answers_max: usize,
    /// Shards that one query may ask.
    pub shards_max: usize,
    /// The longest time budget.
    pub budget_max: Duration,
    /// The only relay to ask, in place of the owners; benches only.
    pub bench_relay: Option<SocketAddr>,
}

impl Options {
    /// Creates options with defaults for all but the addresses.
    ///
    /// Connections leave from `listen`, which differs from `internal` only where
    /// others reach the entry at another address than the one it binds.
    #[must_use]
    pub fn new(internal: SocketAddr, listen: SocketAddr) -> Self {
        Self {
            internal,
            client: HttpClient::open_from(IDLE_CONNECTIONS, listen),
            ticket_lifetime: TICKET_LIFETIME,
            tickets_max: TICKETS_MAX,
            ticket_answers_max: TICKET_ANSWERS_MAX,
            shards_max: SHARDS_MAX,
            budget_max: BUDGET_MAX,
            bench_relay: None,
        }
    }
}
