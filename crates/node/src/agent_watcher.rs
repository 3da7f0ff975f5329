//! Following the agent of this host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use egret_events::{Code, Journal};
use egret_wire::{LocalState, STATE_PATH, StateQuery};
use tokio::{sync::watch, time::sleep};

use crate::{HttpClient, View};

const WAIT_MS: u32 = 1000;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3000);
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Keeps the newest view that the host's agent told; clones share it.
///
/// A view never goes back to an older version, even where a restarted agent
/// offers one. While the agent is away the last view stays in force.
#[derive(Clone, Debug)]
pub struct AgentWatcher {
    view: Arc<ArcSwap<View>>,
    changes: watch::Receiver<u64>,
}

impl AgentWatcher {
    /// Starts following on the current runtime.
    #[must_use]
    pub fn spawn(client: HttpClient, agent: SocketAddr, journal: Journal) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let (tx, changes) = watch::channel(0);
        tokio::spawn(follow(client, agent, journal, Arc::clone(&view), tx));
        Self { view, changes }
    }

    /// Creates a follower of a fixed view, for tests.
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

    /// Calls `take` with the view in force, where there is one, and with every later one.
    pub async fn for_each(mut self, take: impl Fn(&View)) {
        if self.is_ready() {
            take(&self.view());
        }
        while self.changes.changed().await.is_ok() {
            take(&self.view());
        }
    }

    /// Tells whether a configuration is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.changes.borrow() > 0
    }
}

async fn follow(
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
            wait_ms: WAIT_MS,
        };
        let answer: Result<Option<LocalState>, _> =
            client.post_msgpack(agent, STATE_PATH, &query, ANSWER_TIMEOUT).await;
        match answer {
            Ok(Some(state)) => {
                if !take(&current, state, &journal, &view, &tx) {
                    sleep(RETRY_AFTER).await;
                }
            }
            Ok(None) => {}
            Err(_) => sleep(RETRY_AFTER).await,
        }
    }
}

/// Puts a newer state in force; returns `false` where it is not newer.
///
/// Configuration and hosts advance separately: an agent that restarted may know
/// a newer host list and an older configuration.
fn take(
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
