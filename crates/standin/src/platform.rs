//! A stand-in for the platform's configuration service and host list.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use egret_node::{HttpHandler, HttpLimits, HttpRequest, HttpServer, ListenError, Reply};
use egret_wire::{CONFIG_PATH, PlatformValue};
use tokio::{runtime::Handle, sync::watch, time::timeout};

const MODE_PATH: &str = "/admin/mode";
const CALLS_PATH: &str = "/admin/calls";
const VALUE_MAX_BYTES: usize = 1 << 20;

/// How a stand-in platform answers readers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// It serves the newest values.
    #[default]
    Up,
    /// It refuses every read.
    Down,
    /// It serves the value before the newest.
    Stale,
}

#[derive(Debug, Default)]
struct Key {
    name: String,
    history: Vec<String>,
}

#[derive(Debug, Default)]
struct Inner {
    keys: Mutex<Vec<Key>>,
    mode: Mutex<PlatformMode>,
    calls: AtomicU64,
    changes: watch::Sender<u64>,
}

/// A running stand-in platform; clones share it.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Inner>,
    address: SocketAddr,
    _server: Option<Arc<HttpServer>>,
}

impl Platform {
    /// Starts an empty platform.
    ///
    /// # Errors
    /// Fails where the address cannot be listened on.
    pub async fn bind(traffic: &Handle, address: SocketAddr) -> Result<Self, ListenError> {
        let inner = Arc::new(Inner::default());
        let limits = HttpLimits { body_bytes: VALUE_MAX_BYTES, ..HttpLimits::default() };
        let handler = PlatformHandler { inner: Arc::clone(&inner) };
        let server = HttpServer::bind(traffic, address, limits, handler).await?;
        Ok(Self { inner, address: server.address(), _server: Some(Arc::new(server)) })
    }

    /// Starts an empty platform without a network, for scenarios; [`Platform::handler`] is its way in.
    #[must_use]
    pub fn without_network(address: SocketAddr) -> Self {
        Self { inner: Arc::default(), address, _server: None }
    }

    /// Returns the site that answers readers.
    #[must_use]
    pub fn handler(&self) -> impl HttpHandler {
        PlatformHandler { inner: Arc::clone(&self.inner) }
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stores a value.
    pub fn put(&self, key: &str, value: &str) {
        self.inner.put(key, value);
    }

    /// Changes how it answers.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.inner.set_mode(mode);
    }

    /// Returns the bytes of a key's newest value.
    #[must_use]
    pub fn value_bytes(&self, key: &str) -> u64 {
        self.inner.value(key).map_or(0, |value| value.value.len() as u64)
    }

    /// Returns the number of reads and watches so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::SeqCst)
    }
}

impl Inner {
    fn put(&self, key: &str, value: &str) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let at = match keys.binary_search_by(|k| k.name.as_str().cmp(key)) {
            Ok(at) => at,
            Err(at) => {
                keys.insert(at, Key { name: key.to_owned(), history: Vec::new() });
                at
            }
        };
        if keys[at].history.last().map(String::as_str) != Some(value) {
            keys[at].history.push(value.to_owned());
        }
        drop(keys);
        self.changes.send_modify(|count| *count += 1);
    }

    fn set_mode(&self, mode: PlatformMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.changes.send_modify(|count| *count += 1);
    }

    fn mode(&self) -> PlatformMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn value(&self, key: &str) -> Option<PlatformValue> {
        let keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let at = keys.binary_search_by(|k| k.name.as_str().cmp(key)).ok()?;
        let history = &keys[at].history;
        let newest = history.len().checked_sub(1)?;
        let shown = if self.mode() == PlatformMode::Stale { newest.saturating_sub(1) } else { newest };
        Some(PlatformValue { revision: shown as u64 + 1, value: history[shown].clone() })
    }

    async fn read(&self, key: &str, after: Option<u64>, wait: Duration) -> Reply {
        let mut changes = self.changes.subscribe();
        let changed = async {
            loop {
                changes.borrow_and_update();
                let news = self.value(key).filter(|value| Some(value.revision) != after);
                if news.is_some() || self.mode() == PlatformMode::Down || changes.changed().await.is_err() {
                    return;
                }
            }
        };
        if after.is_some() {
            let _ = timeout(wait, changed).await;
        }
        match (self.mode(), self.value(key)) {
            (PlatformMode::Down, _) => Reply::text(503, "down\n"),
            (_, Some(value)) => Reply::json(200, &value),
            (_, None) => Reply::not_found(),
        }
    }
}

#[derive(Debug)]
struct PlatformHandler {
    inner: Arc<Inner>,
}

impl PlatformHandler {
    async fn config(&self, call: &HttpRequest, key: &str) -> Reply {
        if call.method == "PUT" {
            return match std::str::from_utf8(&call.body) {
                Ok(value) => {
                    self.inner.put(key, value);
                    Reply::text(200, "stored\n")
                }
                Err(_) => Reply::text(400, "send UTF-8 text\n"),
            };
        }
        self.inner.calls.fetch_add(1, Ordering::SeqCst);
        let number = |name: &str| call.query_parameter(name).and_then(|value| value.parse::<u64>().ok());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        self.inner.read(key, number("after"), wait).await
    }
}

impl HttpHandler for PlatformHandler {
    async fn respond(&self, call: HttpRequest) -> Reply {
        match call.path.as_str() {
            MODE_PATH => {
                let mode = match call.body.as_ref() {
                    b"up" => PlatformMode::Up,
                    b"down" => PlatformMode::Down,
                    b"stale" => PlatformMode::Stale,
                    _ => return Reply::text(400, "send up, down or stale\n"),
                };
                self.inner.set_mode(mode);
                Reply::text(200, "set\n")
            }
            CALLS_PATH => Reply::text(200, self.inner.calls.load(Ordering::SeqCst).to_string()),
            path => match path.strip_prefix(CONFIG_PATH).and_then(|rest| rest.strip_prefix('/')) {
                Some(key) => self.config(&call, key).await,
                None => Reply::not_found(),
            },
        }
    }
}
