//! Bids: non-idempotent requests, each of which a caller may send several times with one ticket.

use std::time::Duration;

use egret_client::{Client, Query};
use egret_model::Ran;
use tokio::time::{Instant, sleep};

const BID_BUDGET: Duration = Duration::from_millis(400);
const PAUSE_BETWEEN_BIDS: Duration = Duration::from_millis(20);

/// The outcomes of the bids of one or more callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BidOutcomes {
    /// The number of bids that were answered.
    pub answered: usize,
    /// The number of unanswered bids that may have run, by the error of at least one try.
    pub unknown: usize,
    /// The marks of bids that, by the refusal of every try, did not run.
    pub not_run: Vec<String>,
}

impl BidOutcomes {
    /// Sends bids until `end`, each with one ticket and up to `tries` times, and returns their outcomes.
    ///
    /// # Panics
    /// Never panics: the queries are valid.
    pub async fn collect(client: Client, caller: usize, tries: usize, end: Instant) -> Self {
        let mut bids = Self::default();
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let mark = format!("bid-{caller}-{number}-");
            let Ok(ticket) = client.ticket().await else { continue };
            let query = Query::group("desk", "file", &format!(r#"{{"mark":"{mark}"}}"#));
            let query = query.expect("the query is valid").non_idempotent().ticket(ticket.ticket);
            match send_bid(&client, &query.budget(BID_BUDGET), tries).await {
                None => bids.answered += 1,
                Some(Ran::No) => bids.not_run.push(mark),
                Some(Ran::Yes | Ran::Unknown) => bids.unknown += 1,
            }
            sleep(PAUSE_BETWEEN_BIDS).await;
        }
        bids
    }

    /// Adds the outcomes of another caller's bids.
    pub fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.not_run.extend(other.not_run);
    }
}

/// Sends one bid; returns `None` if it was answered, else whether any of its tries may have run.
async fn send_bid(client: &Client, query: &Query, tries: usize) -> Option<Ran> {
    let mut ran = Ran::No;
    for _ in 0..tries {
        match client.query_once(query).await {
            Ok(_) => return None,
            Err(error) => ran = ran.combine(error.ran()),
        }
    }
    Some(ran)
}
