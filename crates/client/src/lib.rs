//! A client that handles tickets, deadlines and coming back.
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
//! - A non-idempotent query gets a ticket by itself, and the same ticket stays
//!   with it through every entry, so that it never runs twice.
//! - A refusal that says when to come back is obeyed while the time budget lasts.
//! - An entry that cannot be reached is left for another one.

mod client;
mod error;
mod query;

pub use client::Client;
pub use error::{Error, Result};
pub use query::Query;
