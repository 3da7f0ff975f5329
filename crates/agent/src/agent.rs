//! The agent: gossip with peers, watches of the platform, and the state that results.

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
    platform_access::{
        ANNOUNCE_PEERS, PLATFORM_CONTACT_MAX_AGE, WATCH_PAUSE, WATCH_TIMEOUT, is_watcher, read_backoff,
    },
    state::AgentState,
    value_source::ValueSource,
};

/// How long a peer may take to answer a gossip query.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum number of peers that an agent queries at once until it has a configuration.
const START_PEERS_MAX: usize = 8;
/// How often an agent without a watch checks the time since the last contact with the platform.
const PLATFORM_CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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
    /// Held while a newer configuration is fetched and applied, so that two sources do not race.
    config_update: Mutex<()>,
    started: Instant,
    /// When this agent or a peer last reached the platform, in milliseconds since `started` plus 1;
    /// 0 if never.
    platform_contact_ms: AtomicU64,
}

impl Agent {
    /// Starts an agent on the current runtime.
    #[must_use]
    pub fn spawn(options: Options) -> Self {
        let journal = Journal::new(format!("agent@{}", options.host), Clock::new());
        let ops = Ops::new(journal);
        let client = options.client.clone();
        let platform = Platform::new(client.clone(), options.platform);
        let (changes, _) = watch::channel(0);
        let state = ArcSwap::default();
        let (config_update, started, platform_contact_ms) =
            (Mutex::default(), Instant::now(), AtomicU64::new(0));
        let inner = Inner {
            options,
            ops,
            client,
            platform,
            state,
            changes,
            config_update,
            started,
            platform_contact_ms,
        };
        let agent = Self { inner: Arc::new(inner) };
        tokio::spawn(agent.clone().run());
        agent
    }

    /// Returns the address on which the agent's handler should be served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.options.address
    }

    /// Returns the journal, the metrics and the readiness of the agent.
    #[must_use]
    pub fn ops(&self) -> &Ops {
        &self.inner.ops
    }

    /// Returns the HTTP handler of the agent.
    #[must_use]
    pub fn handler(&self) -> AgentHandler {
        AgentHandler::new(self.clone())
    }

    /// Returns the state in force.
    #[must_use]
    pub fn state(&self) -> Arc<AgentState> {
        self.inner.state.load_full()
    }

    /// Returns a receiver that is notified of each new state.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Answers a peer's query, and queries the peer in turn if it has a newer state.
    #[must_use]
    pub fn answer_peer(&self, query: &PeerQuery) -> PeerState {
        let state = self.state();
        self.record_platform_contact(query.heard_ms_ago);
        if state.is_behind(query) {
            let (agent, peer) = (self.clone(), query.agent);
            tokio::spawn(async move { agent.sync_with(peer).await });
        }
        let newer = state.head.supersedes(query.version, query.root);
        PeerState {
            head: newer.then(|| state.head.with_changes_since(query.version)),
            hosts: state.hosts_update(query.hosts_revision),
            heard_ms_ago: self.ms_since_platform_contact(),
        }
    }

    async fn run(self) {
        self.load_first_config().await;
        tokio::join!(self.gossip(), self.follow_key(CONFIG_HEAD_KEY), self.follow_key(HOSTS_KEY));
    }

    /// Queries peers and the platform until a configuration is in force, then reports the agent ready.
    ///
    /// The platform may serve an old state; a peer that has a newer one makes up for that.
    async fn load_first_config(&self) {
        loop {
            let peers: Vec<SocketAddr> = self.random_peers(START_PEERS_MAX);
            let queries = peers.into_iter().map(|peer| self.sync_with(peer));
            futures_util::future::join_all(queries).await;
            self.fetch_key(CONFIG_HEAD_KEY, None).await;
            self.fetch_key(HOSTS_KEY, None).await;
            if self.state().has_config() {
                self.inner.ops.set_ready(true);
                self.inner.ops.journal.record(Code::AgentReady, None, "");
                return;
            }
            sleep(read_backoff(0, fastrand::f64())).await;
        }
    }

    /// Exchanges state with one random peer after another, for ever.
    async fn gossip(&self) {
        loop {
            let pause = self.inner.options.gossip_interval.mul_f64(0.5 + fastrand::f64());
            sleep(pause).await;
            for peer in self.random_peers(1) {
                self.sync_with(peer).await;
            }
        }
    }

    /// Keeps a key up to date: a watcher watches it, any other agent reads it only if neither it nor its
    /// peers reached the platform recently.
    async fn follow_key(&self, key: &'static str) {
        let mut failures = 0;
        let mut revision = 0;
        loop {
            let watching = self.is_watcher();
            if !watching && self.ms_since_platform_contact() < PLATFORM_CONTACT_MAX_AGE.as_millis() as u64 {
                sleep(PLATFORM_CONTACT_CHECK_INTERVAL).await;
                continue;
            }
            match self.fetch_key(key, watching.then_some(revision)).await {
                Some(seen) => {
                    (failures, revision) = (0, seen);
                    // If the platform answers a watch at once, the loop must not flood it with calls.
                    sleep(WATCH_PAUSE).await;
                    continue;
                }
                None => failures += 1,
            }
            sleep(read_backoff(failures, fastrand::f64())).await;
        }
    }

    /// Reads a key once and applies its value; returns the key's revision.
    async fn fetch_key(&self, key: &str, watch_after: Option<u64>) -> Option<u64> {
        self.count_platform_call(key);
        let platform = &self.inner.platform;
        let answer = match watch_after {
            Some(after) => platform.watch(key, after, WATCH_TIMEOUT).await,
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
        let applied = match key {
            HOSTS_KEY => {
                parse::<HostList>(key, &value.value).map(|hosts| self.apply_hosts(HostsUpdate::Whole(hosts)))
            }
            _ => match parse::<Head>(key, &value.value) {
                Ok(head) => self.apply_head(head, &source).await,
                Err(error) => Err(error),
            },
        };
        if let Err(error) = applied {
            self.inner.ops.journal.record(Code::ConfigBroken, None, error.to_string());
            return None;
        }
        self.record_platform_contact(0);
        Some(value.revision)
    }

    /// Queries a peer and applies what it has newer.
    async fn sync_with(&self, peer: SocketAddr) {
        let state = self.state();
        let query = PeerQuery {
            agent: self.inner.options.address,
            version: state.head.version,
            root: state.head.root,
            hosts_revision: state.hosts.revision,
            heard_ms_ago: self.ms_since_platform_contact(),
        };
        let answer = self.inner.client.post_msgpack(peer, PEER_PATH, &query, PEER_TIMEOUT).await;
        let Ok(PeerState { head, hosts, heard_ms_ago }) = answer else { return };
        if let Some(hosts) = hosts {
            self.apply_hosts(hosts);
        }
        if let Some(head) = head {
            let source = ValueSource::peer(self.inner.platform.clone(), self.inner.client.clone(), peer);
            if let Err(error) = self.apply_head(head, &source).await {
                self.inner.ops.journal.record(Code::ConfigBroken, None, error.to_string());
                return;
            }
        }
        self.record_platform_contact(heard_ms_ago);
    }

    /// Puts a head in force if it supersedes the present one.
    async fn apply_head(&self, head: Head, source: &ValueSource) -> Result<(), FetchError> {
        let _update = self.inner.config_update.lock().await;
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
        self.inner.state.rcu(|current| AgentState {
            head: head.with_history(&current.head),
            manifest: manifest.clone(),
            services: services.clone(),
            ..AgentState::clone(current)
        });
        self.announce();
        self.inner.ops.journal.record(Code::ConfigInForce, None, format!("version {version}"));
        Ok(())
    }

    /// Puts a newer host list in force; an update that cannot be applied is ignored, and the next
    /// exchange with a peer makes up for it.
    fn apply_hosts(&self, update: HostsUpdate) {
        let mut revision = None;
        // Several peers may answer at once, so each update is applied to the state that it replaces.
        self.inner.state.rcu(|current| {
            let next = current.with_hosts_update(update.clone());
            revision = next.as_ref().map(|next| next.hosts.revision);
            next.map_or_else(|| Arc::clone(current), Arc::new)
        });
        let Some(revision) = revision else { return };
        self.announce();
        self.inner.ops.journal.record(Code::HostsInForce, None, format!("revision {revision}"));
    }

    /// Notifies this host's daemons of a new state, and exchanges it with some peers at once.
    fn announce(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
        for peer in self.random_peers(ANNOUNCE_PEERS) {
            let agent = self.clone();
            tokio::spawn(async move { agent.sync_with(peer).await });
        }
    }

    fn is_watcher(&self) -> bool {
        let options = &self.inner.options;
        is_watcher(&options.host, &options.data_centre, &self.state().hosts)
    }

    /// Returns up to `count` random peers, out of the host list and the seed peers of the settings.
    fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
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

    fn ms_since_platform_contact(&self) -> u64 {
        match self.inner.platform_contact_ms.load(Ordering::SeqCst) {
            0 => u64::MAX / 2,
            contact_ms => self.now_ms().saturating_sub(contact_ms),
        }
    }

    fn record_platform_contact(&self, ms_ago: u64) {
        let contact_ms = (self.now_ms() + 1).saturating_sub(ms_ago);
        self.inner.platform_contact_ms.fetch_max(contact_ms, Ordering::SeqCst);
    }

    fn count_platform_call(&self, key: &str) {
        let metrics: &Metrics = &self.inner.ops.metrics;
        metrics
            .counter("platform_calls", "Calls to the platform, a watch as one.")
            .add(1, &[label("key", key)]);
    }

    /// Waits until `select` returns a value for the state, at most for `wait`.
    pub(crate) async fn wait_for_change<T>(
        &self,
        wait: Duration,
        select: impl Fn(&AgentState) -> Option<T>,
    ) -> Option<T> {
        let mut changes = self.changes();
        let search = async {
            loop {
                changes.borrow_and_update();
                if let Some(found) = select(&self.state()) {
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
