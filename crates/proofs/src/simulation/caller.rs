//! A caller of a simulated fleet.

use std::time::Duration;

use egret_node::{ExchangeError, HttpClient, HttpResponse};
use egret_wire::{QUERY_PATH, QueryAnswer, QueryRequest, RefusalBody, TICKET_PATH, TicketBody};
use serde::de::DeserializeOwned;

use crate::{Role, address_plan::AddressPlan};

const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends queries and ticket requests to the entries; clones share the connections.
#[derive(Clone, Debug)]
pub struct Caller {
    pub(crate) client: HttpClient,
    pub(crate) address_plan: AddressPlan,
}

/// Why a query or a ticket request failed.
#[derive(Debug, derive_more::From)]
pub enum QueryError {
    /// The entry refused it.
    Refused(Box<RefusalBody>),
    /// The exchange with the entry failed or timed out.
    NoAnswer(ExchangeError),
}

impl Caller {
    /// Sends a query to the entry of one host.
    ///
    /// # Errors
    /// Returns the refusal, or the reason why there was no answer.
    pub async fn query(&self, host: usize, request: &QueryRequest) -> Result<QueryAnswer, QueryError> {
        let entry = self.address_plan.daemon(host, Role::Entry);
        read(&self.client.post_json(entry, QUERY_PATH, request, CALLER_TIMEOUT).await?)
    }

    /// Requests a ticket from the entry of one host.
    ///
    /// # Errors
    /// Returns the refusal, or the reason why there was no answer.
    pub async fn ticket(&self, host: usize) -> Result<TicketBody, QueryError> {
        let entry = self.address_plan.daemon(host, Role::Entry);
        read(&self.client.post_json(entry, TICKET_PATH, &(), CALLER_TIMEOUT).await?)
    }
}

fn read<T: DeserializeOwned>(exchange: &HttpResponse) -> Result<T, QueryError> {
    if exchange.status == 200 {
        return Ok(
            serde_json::from_slice(&exchange.body).expect("entries answer in the format of docs/API.md")
        );
    }
    let refusal =
        serde_json::from_slice(&exchange.body).expect("refusals have a body in the format of docs/API.md");
    Err(QueryError::Refused(Box::new(refusal)))
}
