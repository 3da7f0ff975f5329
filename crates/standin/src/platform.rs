//! A stand-in for the platform, which stores the configuration and the host list by key.

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
const MAX_VALUE_BYTES: usize = 1 << 20;

/// How a stand-in platform answers reads and watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// The newest value of a key is served.
    #[default]
    Up,
    /// Every read fails with status 503.
    Down,
    /// The value before the newest is served, where there is one.
    Stale,
}

#[derive(Debug, Default)]
struct Key {
    name: String,
    /// All values of the key, the newest last; a value's revision is its index plus one.
    history: Vec<String>,
}

#[derive(Debug, Default)]
struct Inner {
    keys: Mutex<Vec<Key>>,
    mode: Mutex<PlatformMode>,
    calls: AtomicU64,
    /// Counts writes and changes of the mode, to wake watches.
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
    /// Starts a platform without keys that listens on `address`.
    ///
    /// # Errors
    /// Fails if the platform cannot listen on the address.
    pub async fn bind(traffic: &Handle, address: SocketAddr) -> Result<Self, ListenError> {
        let inner = Arc::new(Inner::default());
        let limits = HttpLimits { body_bytes: MAX_VALUE_BYTES, ..HttpLimits::default() };
        let handler = PlatformHandler { inner: Arc::clone(&inner) };
        let server = HttpServer::bind(traffic, address, limits, handler).await?;
        Ok(Self { inner, address: server.address(), _server: Some(Arc::new(server)) })
    }

    /// Starts a platform without keys and without a network, for simulated scenarios.
    ///
    /// Requests reach it through [`Platform::handler`].
    #[must_use]
    pub fn without_network(address: SocketAddr) -> Self {
        Self { inner: Arc::default(), address, _server: None }
    }

    /// Returns the handler that answers HTTP requests.
    #[must_use]
    pub fn handler(&self) -> impl HttpHandler {
        PlatformHandler { inner: Arc::clone(&self.inner) }
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stores a value as the newest of its key, unless it equals the newest already.
    pub fn put(&self, key: &str, value: &str) {
        self.inner.put(key, value);
    }

    /// Sets how reads and watches are answered.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.inner.set_mode(mode);
    }

    /// Returns the size in bytes of a key's value as it is served, or 0 if there is none.
    #[must_use]
    pub fn value_bytes(&self, key: &str) -> u64 {
        self.inner.value(key).map_or(0, |value| value.value.len() as u64)
    }

    /// Returns how many reads and watches have arrived.
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
        let served = if self.mode() == PlatformMode::Stale { newest.saturating_sub(1) } else { newest };
        Some(PlatformValue { revision: served as u64 + 1, value: history[served].clone() })
    }

    /// Answers a read, or with `after` a watch: it waits until the key's revision differs from
    /// `after`, the platform is down, or `wait` has passed.
    async fn read(&self, key: &str, after: Option<u64>, wait: Duration) -> Reply {
        let mut changes = self.changes.subscribe();
        let changed = async {
            loop {
                changes.borrow_and_update();
                let newer = self.value(key).filter(|value| Some(value.revision) != after);
                if newer.is_some() || self.mode() == PlatformMode::Down || changes.changed().await.is_err() {
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
    async fn respond_for_key(&self, request: &HttpRequest, key: &str) -> Reply {
        if request.method == "PUT" {
            return match std::str::from_utf8(&request.body) {
                Ok(value) => {
                    self.inner.put(key, value);
                    Reply::text(200, "stored\n")
                }
                Err(_) => Reply::text(400, "send UTF-8 text\n"),
            };
        }
        self.inner.calls.fetch_add(1, Ordering::SeqCst);
        let number = |name: &str| request.query_parameter(name).and_then(|value| value.parse::<u64>().ok());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        self.inner.read(key, number("after"), wait).await
    }
}

impl HttpHandler for PlatformHandler {
    async fn respond(&self, request: HttpRequest) -> Reply {
        match request.path.as_str() {
            MODE_PATH => {
                let mode = match request.body.as_ref() {
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
                Some(key) => self.respond_for_key(&request, key).await,
                None => Reply::not_found(),
            },
        }
    }
}
