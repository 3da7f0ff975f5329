//! Watches the configuration and the host list that the agent of this host serves.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use egret_events::{Code, Journal};
use egret_wire::{LocalState, STATE_PATH, StateQuery};
use tokio::{sync::watch, time::sleep};

use crate::{HttpClient, View};

/// How long the agent may hold a poll open until its state changes.
const LONG_POLL_MS: u32 = 1000;
/// The timeout of a poll, which includes the time that the agent holds it open ([`LONG_POLL_MS`]).
const POLL_TIMEOUT: Duration = Duration::from_millis(3000);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps the newest view that it got from the host's agent; clones share it.
///
/// A view is never replaced by an older version, even if a restarted agent
/// serves one. While the agent is unreachable the last view stays in force.
#[derive(Clone, Debug)]
pub struct AgentWatcher {
    view: Arc<ArcSwap<View>>,
    changes: watch::Receiver<u64>,
}

impl AgentWatcher {
    /// Starts polling the agent on the current runtime.
    #[must_use]
    pub fn spawn(client: HttpClient, agent: SocketAddr, journal: Journal) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let (tx, changes) = watch::channel(0);
        tokio::spawn(watch_agent(client, agent, journal, Arc::clone(&view), tx));
        Self { view, changes }
    }

    /// Creates a watcher whose view never changes, for tests.
    #[must_use]
    pub fn fixed(view: View) -> Self {
        let (_, changes) = watch::channel(1);
        Self { view: Arc::new(ArcSwap::from_pointee(view)), changes }
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Calls `f` with the view in force, if there is one, and then with later ones as they come into force.
    ///
    /// Views that are replaced while `f` runs may be skipped.
    pub async fn for_each(mut self, f: impl Fn(&View)) {
        if self.is_ready() {
            f(&self.view());
        }
        while self.changes.changed().await.is_ok() {
            f(&self.view());
        }
    }

    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.changes.borrow() > 0
    }
}

async fn watch_agent(
    client: HttpClient,
    agent: SocketAddr,
    journal: Journal,
    view: Arc<ArcSwap<View>>,
    tx: watch::Sender<u64>,
) {
    loop {
        let current = view.load_full();
        let query = StateQuery {
            version: current.config.version(),
            root: current.config.root(),
            hosts_revision: current.hosts.revision,
            wait_ms: LONG_POLL_MS,
        };
        let answer: Result<Option<LocalState>, _> =
            client.post_msgpack(agent, STATE_PATH, &query, POLL_TIMEOUT).await;
        match answer {
            Ok(Some(state)) => {
                if !apply_state(&current, state, &journal, &view, &tx) {
                    sleep(RETRY_INTERVAL).await;
                }
            }
            Ok(None) => {}
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Puts a newer state in force and returns whether it was newer.
///
/// Configuration and host list are compared separately: an agent that restarted may
/// have a newer host list but an older configuration.
fn apply_state(
    current: &View,
    mut state: LocalState,
    journal: &Journal,
    view: &ArcSwap<View>,
    tx: &watch::Sender<u64>,
) -> bool {
    if current.is_ahead_of(&state) {
        let detail = format!("version {} while {} is in force", state.version, current.config.version());
        journal.record(Code::ConfigOlderIgnored, None, detail);
    }
    if (state.version, state.root) < (current.config.version(), current.config.root()) {
        state.version = current.config.version();
        state.root = current.config.root();
        state.services = current.config.services().iter().map(|service| (**service).clone()).collect();
    }
    if state.hosts.revision < current.hosts.revision {
        state.hosts = current.hosts.clone();
    }
    if !current.is_behind(&state) {
        return false;
    }
    let next = View::new(state);
    if next.config.version() != current.config.version() {
        journal.record(Code::ConfigInForce, None, format!("version {}", next.config.version()));
    }
    if next.hosts.revision != current.hosts.revision {
        journal.record(Code::HostsInForce, None, format!("revision {}", next.hosts.revision));
    }
    view.store(Arc::new(next));
    tx.send_modify(|count| *count += 1);
    true
}
