//! Non-idempotent requests that callers send again and again.

use std::time::Duration;

use egret_client::{Client, Query};
use egret_model::Ran;
use tokio::time::{Instant, sleep};

const BUDGET: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(20);

/// What became of the bids of one or more callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BidOutcomes {
    /// Bids that were answered.
    pub answered: usize,
    /// Bids of which no refusal said what became of them.
    pub unknown: usize,
    /// Marks of bids whose every refusal said that they did not run.
    pub not_run: Vec<String>,
}

impl BidOutcomes {
    /// Sends bids until `end`, each with one ticket and up to `tries` times through any entry.
    ///
    /// # Panics
    /// Never: the queries are valid.
    pub async fn collect(client: Client, caller: usize, tries: usize, end: Instant) -> Self {
        let mut bids = Self::default();
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let mark = format!("bid-{caller}-{number}-");
            let Ok(ticket) = client.ticket().await else { continue };
            let query = Query::group("desk", "file", &format!(r#"{{"mark":"{mark}"}}"#));
            let query = query.expect("the query is valid").non_idempotent().ticket(ticket.ticket);
            match send_one(&client, &query.budget(BUDGET), tries).await {
                None => bids.answered += 1,
                Some(Ran::No) => bids.not_run.push(mark),
                Some(Ran::Yes | Ran::Unknown) => bids.unknown += 1,
            }
            sleep(PAUSE).await;
        }
        bids
    }

    /// Adds another caller's bids.
    pub fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.not_run.extend(other.not_run);
    }
}

/// Sends one bid; returns nothing where it was answered, else whether any try may have run.
async fn send_one(client: &Client, query: &Query, tries: usize) -> Option<Ran> {
    let mut ran = Ran::No;
    for _ in 0..tries {
        match client.query_once(query).await {
            Ok(_) => return None,
            Err(error) => ran = ran.combine(error.ran()),
        }
    }
    Some(ran)
}
