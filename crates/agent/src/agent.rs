//! The agent's loops.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use egret_conf::{Head, HostList, HostsUpdate, Manifest, Service};
use egret_events::{Clock, Code, Journal};
use egret_node::{HttpClient, Metrics, Ops, label};
use egret_wire::{CONFIG_HEAD_KEY, HOSTS_KEY, PEER_PATH, PeerQuery, PeerState};
use tokio::{
    sync::{Mutex, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    AgentHandler, FetchError, Options,
    platform::Platform,
    platform_access::{PUSH_PEERS, QUIET_AFTER, WATCH_PAUSE, WATCH_WAIT, is_watcher, read_backoff},
    state::AgentState,
    value_source::ValueSource,
};

const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
const START_PEERS: usize = 8;
const IDLE_CHECK: Duration = Duration::from_millis(250);

/// A running agent; clones share it.
#[derive(Clone, Debug)]
pub struct Agent {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    ops: Ops,
    client: HttpClient,
    platform: Platform,
    state: ArcSwap<AgentState>,
    changes: watch::Sender<u64>,
    /// Held while a newer state is fetched, so that two sources do not race.
    update: Mutex<()>,
    started: Instant,
    heard_ms: AtomicU64,
}

impl Agent {
    /// Starts an agent's loops on the current runtime.
    #[must_use]
    pub fn spawn(options: Options) -> Self {
        let journal = Journal::new(format!("agent@{}", options.host), Clock::new());
        let ops = Ops::new(journal);
        let client = options.client.clone();
        let platform = Platform::new(client.clone(), options.platform);
        let (changes, _) = watch::channel(0);
        let state = ArcSwap::default();
        let (update, started, heard_ms) = (Mutex::default(), Instant::now(), AtomicU64::new(0));
        let inner = Inner { options, ops, client, platform, state, changes, update, started, heard_ms };
        let agent = Self { inner: Arc::new(inner) };
        tokio::spawn(agent.clone().run());
        agent
    }

    /// Returns the address that the agent should be served on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.options.address
    }

    /// Returns the operators' side.
    #[must_use]
    pub fn ops(&self) -> &Ops {
        &self.inner.ops
    }

    /// Returns the site to serve.
    #[must_use]
    pub fn handler(&self) -> AgentHandler {
        AgentHandler::new(self.clone())
    }

    /// Returns the state in force.
    #[must_use]
    pub fn state(&self) -> Arc<AgentState> {
        self.inner.state.load_full()
    }

    /// Returns a receiver that changes with every state.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Answers a peer, and asks it back where it has something newer.
    #[must_use]
    pub fn answer_peer(&self, query: &PeerQuery) -> PeerState {
        let state = self.state();
        self.hear(query.heard_ms_ago);
        if state.is_behind(query) {
            let (agent, peer) = (self.clone(), query.agent);
            tokio::spawn(async move { agent.ask(peer).await });
        }
        let newer = state.head.supersedes(query.version, query.root);
        PeerState {
            head: newer.then(|| state.head.with_changes_since(query.version)),
            hosts: state.hosts_update(query.hosts_revision),
            heard_ms_ago: self.heard_ms_ago(),
        }
    }

    async fn run(self) {
        self.start().await;
        tokio::join!(self.gossip(), self.follow(CONFIG_HEAD_KEY), self.follow(HOSTS_KEY));
    }

    /// Asks peers and the platform before the agent reports ready.
    ///
    /// The platform may serve an old state; a peer that saw a newer one corrects it.
    async fn start(&self) {
        loop {
            let peers: Vec<SocketAddr> = self.some_peers(START_PEERS);
            let asked = peers.into_iter().map(|peer| self.ask(peer));
            futures_util::future::join_all(asked).await;
            self.read(CONFIG_HEAD_KEY, None).await;
            self.read(HOSTS_KEY, None).await;
            if self.state().has_config() {
                self.inner.ops.set_ready(true);
                self.inner.ops.journal.record(Code::AgentReady, None, "");
                return;
            }
            sleep(read_backoff(0, fastrand::f64())).await;
        }
    }

    /// Asks one random peer at a time, forever.
    async fn gossip(&self) {
        loop {
            let pause = self.inner.options.gossip_interval.mul_f64(0.5 + fastrand::f64());
            sleep(pause).await;
            for peer in self.some_peers(1) {
                self.ask(peer).await;
            }
        }
    }

    /// Watches a key, or reads it when nobody heard from the platform lately.
    async fn follow(&self, key: &'static str) {
        let mut failures = 0;
        let mut revision = 0;
        loop {
            let watching = self.is_watcher();
            if !watching && self.heard_ms_ago() < QUIET_AFTER.as_millis() as u64 {
                sleep(IDLE_CHECK).await;
                continue;
            }
            match self.read(key, watching.then_some(revision)).await {
                Some(seen) => {
                    (failures, revision) = (0, seen);
                    // A platform that answers a watch at once must not be asked without pause.
                    sleep(WATCH_PAUSE).await;
                    continue;
                }
                None => failures += 1,
            }
            sleep(read_backoff(failures, fastrand::f64())).await;
        }
    }

    /// Reads a key once and takes what it says; returns the key's revision.
    async fn read(&self, key: &str, watch_after: Option<u64>) -> Option<u64> {
        self.count_call(key);
        let platform = &self.inner.platform;
        let answer = match watch_after {
            Some(after) => platform.watch(key, after, WATCH_WAIT).await,
            None => platform.read(key).await,
        };
        let value = match answer {
            Ok(value) => value,
            Err(error) => {
                self.inner.ops.journal.record(Code::PlatformUnreachable, None, error.to_string());
                return None;
            }
        };
        let source = ValueSource::platform(platform.clone(), self.inner.client.clone());
        let taken = match key {
            HOSTS_KEY => {
                parse::<HostList>(key, &value.value).map(|hosts| self.take_hosts(HostsUpdate::Whole(hosts)))
            }
            _ => match parse::<Head>(key, &value.value) {
                Ok(head) => self.take_head(head, &source).await,
                Err(error) => Err(error),
            },
        };
        if let Err(error) = taken {
            self.inner.ops.journal.record(Code::ConfigBroken, None, error.to_string());
            return None;
        }
        self.hear(0);
        Some(value.revision)
    }

    /// Asks a peer and takes what is newer.
    async fn ask(&self, peer: SocketAddr) {
        let state = self.state();
        let query = PeerQuery {
            agent: self.inner.options.address,
            version: state.head.version,
            root: state.head.root,
            hosts_revision: state.hosts.revision,
            heard_ms_ago: self.heard_ms_ago(),
        };
        let answer = self.inner.client.post_msgpack(peer, PEER_PATH, &query, PEER_TIMEOUT).await;
        let Ok(PeerState { head, hosts, heard_ms_ago }) = answer else { return };
        if let Some(hosts) = hosts {
            self.take_hosts(hosts);
        }
        if let Some(head) = head {
            let source = ValueSource::peer(self.inner.platform.clone(), self.inner.client.clone(), peer);
            if let Err(error) = self.take_head(head, &source).await {
                self.inner.ops.journal.record(Code::ConfigBroken, None, error.to_string());
                return;
            }
        }
        self.hear(heard_ms_ago);
    }

    /// Puts a head in force, where it goes before the present one.
    async fn take_head(&self, head: Head, source: &ValueSource) -> Result<(), FetchError> {
        let _update = self.inner.update.lock().await;
        let state = self.state();
        if !head.supersedes(state.head.version, state.head.root) {
            if head.version < state.head.version {
                let detail = format!("version {} while {} is in force", head.version, state.head.version);
                self.inner.ops.journal.record(Code::ConfigOlderIgnored, None, detail);
            }
            return Ok(());
        }
        let mut manifest = state.manifest.clone();
        if !head.advance(&mut manifest) {
            manifest = source.manifest(head.root).await?;
        }
        let services = fetch_services(&state, &manifest, source).await?;
        let version = head.version;
        self.inner.state.rcu(|now| AgentState {
            head: head.with_history(&now.head),
            manifest: manifest.clone(),
            services: services.clone(),
            ..AgentState::clone(now)
        });
        self.announce();
        self.inner.ops.journal.record(Code::ConfigInForce, None, format!("version {version}"));
        Ok(())
    }

    /// Puts a newer host list in force; news that do not fit are left for the next question.
    fn take_hosts(&self, news: HostsUpdate) {
        let mut taken = None;
        // Several peers may answer at once: each list is held against the state that it replaces.
        self.inner.state.rcu(|now| {
            let next = now.with_hosts(news.clone());
            taken = next.as_ref().map(|next| next.hosts.revision);
            next.map_or_else(|| Arc::clone(now), Arc::new)
        });
        let Some(revision) = taken else { return };
        self.announce();
        self.inner.ops.journal.record(Code::HostsInForce, None, format!("revision {revision}"));
    }

    /// Tells followers and some peers at once of a new state.
    fn announce(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
        for peer in self.some_peers(PUSH_PEERS) {
            let agent = self.clone();
            tokio::spawn(async move { agent.ask(peer).await });
        }
    }

    fn is_watcher(&self) -> bool {
        let options = &self.inner.options;
        is_watcher(&options.host, &options.data_centre, &self.state().hosts)
    }

    /// Chooses random peers; seeds from the settings count until hosts are listed.
    fn some_peers(&self, count: usize) -> Vec<SocketAddr> {
        let state = self.state();
        let others = state.hosts.hosts.iter().filter(|host| host.name != self.inner.options.host);
        let listed = others.filter_map(|host| host.agent);
        let mut peers: Vec<SocketAddr> =
            listed.chain(self.inner.options.seed_peers.iter().copied()).collect();
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.inner.options.address);
        fastrand::shuffle(&mut peers);
        peers.truncate(count);
        peers
    }

    fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    fn heard_ms_ago(&self) -> u64 {
        match self.inner.heard_ms.load(Ordering::SeqCst) {
            0 => u64::MAX / 2,
            heard => self.now_ms().saturating_sub(heard),
        }
    }

    fn hear(&self, ms_ago: u64) {
        let heard = (self.now_ms() + 1).saturating_sub(ms_ago);
        self.inner.heard_ms.fetch_max(heard, Ordering::SeqCst);
    }

    fn count_call(&self, key: &str) {
        let metrics: &Metrics = &self.inner.ops.metrics;
        metrics
            .counter("platform_calls", "Calls to the platform, a watch as one.")
            .add(1, &[label("key", key)]);
    }

    /// Waits until the state differs from what `differs` accepts, at most for `wait`.
    pub(crate) async fn wait_for<T>(
        &self,
        wait: Duration,
        differs: impl Fn(&AgentState) -> Option<T>,
    ) -> Option<T> {
        let mut changes = self.changes();
        let search = async {
            loop {
                changes.borrow_and_update();
                if let Some(found) = differs(&self.state()) {
                    return Some(found);
                }
                changes.changed().await.ok()?;
            }
        };
        timeout(wait, search).await.ok().flatten()
    }
}

async fn fetch_services(
    state: &AgentState,
    manifest: &Manifest,
    source: &ValueSource,
) -> Result<Vec<Arc<Service>>, FetchError> {
    let mut services = Vec::with_capacity(manifest.entries.len());
    for entry in &manifest.entries {
        let service = match state.service_by_hash(entry.hash) {
            Some(service) => service,
            None => Arc::new(source.service(entry.hash).await?),
        };
        services.push(service);
    }
    Ok(services)
}

fn parse<T: serde::de::DeserializeOwned>(key: &str, text: &str) -> Result<T, FetchError> {
    serde_json::from_str(text)
        .map_err(|error| FetchError::Broken { key: key.to_owned(), reason: error.to_string() })
}
