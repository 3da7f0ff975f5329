//! Builds queries.

use std::time::Duration;

use egret_model::{ClassName, GroupName, ServiceName};
use egret_wire::QueryRequest;
use serde_json::value::RawValue;

use crate::{Error, Result};

/// A query with its time budget, minimum coverage and other options.
#[derive(Clone, Debug)]
pub struct Query {
    pub(crate) request: QueryRequest,
}

impl Query {
    /// Creates a query to all services of a group.
    ///
    /// # Errors
    /// Fails if a name is not valid or the body is not JSON.
    pub fn group(group: &str, class: &str, body: &str) -> Result<Self> {
        let mut query = Self::new(class, body)?;
        query.request.group = Some(GroupName::new(group).map_err(Error::invalid)?);
        Ok(query)
    }

    /// Creates a query to one service.
    ///
    /// # Errors
    /// Fails if a name is not valid or the body is not JSON.
    pub fn service(service: &str, class: &str, body: &str) -> Result<Self> {
        let mut query = Self::new(class, body)?;
        query.request.services.push(ServiceName::new(service).map_err(Error::invalid)?);
        Ok(query)
    }

    /// Returns the request as the client sends it, apart from a ticket that it may add.
    #[must_use]
    pub fn request(&self) -> &QueryRequest {
        &self.request
    }

    /// Sets the time budget, which includes retries and the delays before them.
    #[must_use]
    pub fn budget(mut self, budget: Duration) -> Self {
        self.request.budget_ms = Some(u32::try_from(budget.as_millis()).unwrap_or(u32::MAX));
        self
    }

    /// Sets the minimum share of shards that an answer must cover, from 0 to 1.
    #[must_use]
    pub fn min_coverage(mut self, share: f64) -> Self {
        self.request.min_coverage = Some(share);
        self
    }

    /// Marks the query as non-idempotent: it runs at most once.
    #[must_use]
    pub fn non_idempotent(mut self) -> Self {
        self.request.idempotent = false;
        self
    }

    /// Sets a ticket that was fetched before, in place of one that the client would fetch.
    #[must_use]
    pub fn ticket(mut self, ticket: impl Into<String>) -> Self {
        self.request.ticket = Some(ticket.into());
        self
    }

    fn new(class: &str, body: &str) -> Result<Self> {
        let request = QueryRequest {
            group: None,
            services: Vec::new(),
            shards: Vec::new(),
            class: ClassName::new(class).map_err(Error::invalid)?,
            body: RawValue::from_string(body.to_owned()).map_err(Error::invalid)?,
            budget_ms: None,
            min_coverage: None,
            idempotent: true,
            ticket: None,
        };
        Ok(Self { request })
    }
}
