//! A client that handles tickets, deadlines and retries.
//!
//! ```no_run
//! use egret_client::{Client, Query};
//!
//! # async fn ask() -> Result<(), egret_client::Error> {
//! let client = Client::open(["127.0.0.1:8080".parse().unwrap()]);
//! let query = Query::group("field-desk", "field-lookup", r#"{"field":"nizwa"}"#)?;
//! let answer = client.query(&query).await?;
//! println!("{} hits from snapshot {}", answer.hits.len(), answer.snapshot);
//! # Ok(())
//! # }
//! ```
//!
//! - A non-idempotent query gets a ticket automatically. The client sends the same
//!   ticket to every entry that it tries, so that the query never runs twice.
//! - After a refusal that may be retried, the client waits for the time that the refusal
//!   gives and retries while the time budget lasts.
//! - If an entry cannot be reached, the client tries the next one.

mod client;
mod error;
mod query;

pub use client::Client;
pub use error::{Error, Result};
pub use query::Query;
