//! A client of the platform's configuration service.

use std::{net::SocketAddr, time::Duration};

use egret_node::HttpClient;
use egret_wire::{CONFIG_PATH, PlatformValue};

use crate::FetchError;

/// The timeout of a read; a watch gets this time in addition to its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(2000);

/// Reads and watches keys of the platform.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    client: HttpClient,
    address: SocketAddr,
}

impl Platform {
    pub(crate) fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Reads a key without waiting.
    pub(crate) async fn read(&self, key: &str) -> Result<PlatformValue, FetchError> {
        self.fetch(key, &format!("{CONFIG_PATH}/{key}"), READ_TIMEOUT).await
    }

    /// Reads a key once its revision differs from `after`, at the latest after `wait`.
    pub(crate) async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<PlatformValue, FetchError> {
        let path = format!("{CONFIG_PATH}/{key}?after={after}&wait_ms={}", wait.as_millis());
        self.fetch(key, &path, wait + READ_TIMEOUT).await
    }

    async fn fetch(&self, key: &str, path: &str, timeout: Duration) -> Result<PlatformValue, FetchError> {
        let answer = self.client.get(self.address, path, timeout).await?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body)
                .map_err(|error| FetchError::Broken { key: key.to_owned(), reason: error.to_string() }),
            404 => Err(FetchError::NotFound { key: key.to_owned() }),
            status => Err(FetchError::Broken { key: key.to_owned(), reason: format!("status {status}") }),
        }
    }
}
