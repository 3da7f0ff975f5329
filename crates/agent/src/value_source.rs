//! Where the values of a head can be fetched.

use std::{net::SocketAddr, time::Duration};

use egret_conf::{ContentHash, Manifest, Service};
use egret_node::HttpClient;
use egret_wire::{CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX, PEER_VALUE_PATH, ValueQuery, ValueReply};
use serde::de::DeserializeOwned;

use crate::{FetchError, platform::Platform};

const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// The platform, or a peer with the platform behind it.
#[derive(Clone, Debug)]
pub(crate) struct ValueSource {
    platform: Platform,
    client: HttpClient,
    peer: Option<SocketAddr>,
}

impl ValueSource {
    pub(crate) fn platform(platform: Platform, client: HttpClient) -> Self {
        Self { platform, client, peer: None }
    }

    pub(crate) fn peer(platform: Platform, client: HttpClient, peer: SocketAddr) -> Self {
        Self { platform, client, peer: Some(peer) }
    }

    /// Fetches the manifest with the given root hash.
    pub(crate) async fn manifest(&self, root: ContentHash) -> Result<Manifest, FetchError> {
        let text = self.text(CONFIG_MANIFEST_KEY).await?;
        let manifest: Manifest = parse(CONFIG_MANIFEST_KEY, &text)?;
        check(CONFIG_MANIFEST_KEY, manifest.root() == root)?;
        Ok(manifest)
    }

    /// Fetches the service with the given content hash.
    pub(crate) async fn service(&self, hash: ContentHash) -> Result<Service, FetchError> {
        let key = format!("{CONFIG_VALUE_PREFIX}{hash}");
        let text = self.text(&key).await?;
        check(&key, ContentHash::of(&text) == hash)?;
        parse(&key, &text)
    }

    async fn text(&self, key: &str) -> Result<String, FetchError> {
        if let Some(peer) = self.peer {
            let query = ValueQuery { key: key.to_owned() };
            let reply: Result<ValueReply, _> =
                self.client.post_msgpack(peer, PEER_VALUE_PATH, &query, PEER_TIMEOUT).await;
            if let Ok(ValueReply { value: Some(value) }) = reply {
                return Ok(value);
            }
        }
        Ok(self.platform.read(key).await?.value)
    }
}

fn parse<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, FetchError> {
    serde_json::from_str(text)
        .map_err(|error| FetchError::Broken { key: key.to_owned(), reason: error.to_string() })
}

fn check(key: &str, matches: bool) -> Result<(), FetchError> {
    let broken = || FetchError::Broken { key: key.to_owned(), reason: "its hash differs".to_owned() };
    matches.then_some(()).ok_or_else(broken)
}
