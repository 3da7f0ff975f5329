//! Messages between hosts.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use egret_events::{Code, log_event};
use egret_members::GossipMessage;
use egret_node::{HttpClient, HttpHandler, HttpRequest, Reply};
use tokio::sync::Notify;

use crate::{
    clock::now,
    core::{Core, lock},
    fleet_view::FleetView,
};

/// The path that takes other hosts' messages.
const GOSSIP_PATH: &str = "/v1/news";
/// The time between two exchanges that a host begins.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(700);
/// The time over which this host's load is averaged; gatherers must not change with each burst.
const LOAD_INTERVAL: Duration = Duration::from_secs(3);
/// The time between the first two rounds while a host knows nothing; doubled with each further
/// one, up to the usual time.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Peers of the same data centre that are told at once of what traffic goes by; three reach all
/// of them in a few steps.
const PUSH_PEERS: usize = 3;
/// The least time between two such rounds; changes that come in series go together.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// How long a peer may take; longer than a busy host needs, shorter than a suspicion.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a seed may take to answer a host that just started.
const START_TIMEOUT: Duration = Duration::from_millis(250);
/// The share of rounds that go to a seed or a lost host, so that parts of a fleet find each
/// other again.
const SEED_SHARE: f64 = 0.06;

/// What the control thread's tasks share.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    pub(crate) fleet: Arc<Mutex<FleetView>>,
    pub(crate) push_requested: Arc<Notify>,
    is_catching_up: Arc<AtomicBool>,
    pub(crate) core: Arc<Core>,
    client: HttpClient,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Gossip {
    pub(crate) fn new(core: Arc<Core>, fleet: FleetView, client: HttpClient, seeds: Vec<SocketAddr>) -> Self {
        Self {
            fleet: Arc::new(Mutex::new(fleet)),
            push_requested: Arc::default(),
            is_catching_up: Arc::default(),
            core,
            client,
            seeds: Arc::new(Mutex::new(seeds)),
        }
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Exchanges messages with a random host, round after round.
    pub(crate) async fn run(self) {
        let mut counted_at = now();
        let mut parts_per_s = 0;
        for round in 0_u64.. {
            let elapsed = now().saturating_duration_since(counted_at);
            if elapsed >= LOAD_INTERVAL {
                counted_at = now();
                parts_per_s = (self.core.take_part_count() as f64 / elapsed.as_secs_f64()) as u32;
            }
            let is_new = lock(&self.fleet).is_bootstrapping();
            if is_new {
                self.ask_seeds();
            } else if let Some(peer) = self.next_peer(round, parts_per_s) {
                self.exchange(peer, PEER_TIMEOUT).await;
            }
            lock(&self.fleet).choose_gatherers(now());
            let interval = if is_new { start_interval(round) } else { GOSSIP_INTERVAL };
            tokio::time::sleep(interval.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        }
    }

    /// Tells some peers at once of each change that traffic goes by.
    pub(crate) async fn push(self) {
        loop {
            self.push_requested.notified().await;
            for peer in self.peers_to_tell() {
                let gossip = self.clone();
                tokio::spawn(async move { gossip.exchange(peer, PEER_TIMEOUT).await });
            }
            tokio::time::sleep(PUSH_INTERVAL).await;
        }
    }

    /// Takes up what targets say in their answers of leaving, and tells others.
    pub(crate) async fn forward_leaving_targets(self) {
        loop {
            let runs = self.core.next_leaving_targets().await;
            if lock(&self.fleet).merge_leaving(runs) {
                self.push_requested.notify_one();
            }
        }
    }

    fn peers_to_tell(&self) -> Vec<SocketAddr> {
        let fleet = lock(&self.fleet);
        fleet.membership.sample_push_peers(now(), PUSH_PEERS, fleet.is_reader())
    }

    /// Tells some peers that this host shuts down.
    pub(crate) async fn leave(&self) {
        let peers = {
            let mut fleet = lock(&self.fleet);
            fleet.membership.leave();
            fleet.membership.sample_live(now(), PUSH_PEERS)
        };
        for peer in peers {
            self.exchange(peer, PEER_TIMEOUT).await;
        }
    }

    /// Asks all seeds at once; one that is down must not hold up a host that starts.
    fn ask_seeds(&self) {
        let own = lock(&self.fleet).membership.own().address;
        let seeds: Vec<SocketAddr> = lock(&self.seeds).iter().copied().filter(|seed| *seed != own).collect();
        for seed in seeds {
            let gossip = self.clone();
            tokio::spawn(async move { gossip.exchange(seed, START_TIMEOUT).await });
        }
    }

    /// Chooses whom to ask: by turns any live host, so that lost ones are noticed, and a
    /// host that reads the store, for the age of its news.
    fn next_peer(&self, round: u64, parts_per_s: u32) -> Option<SocketAddr> {
        let now = now();
        let (own, drawn, lost, readers, is_store_info_stale) = {
            let mut fleet = lock(&self.fleet);
            fleet.membership.refresh(now, parts_per_s);
            let membership = &fleet.membership;
            let drawn = membership.sample_live(now, 1).pop();
            (
                membership.own().address,
                drawn,
                membership.sample_unreachable(now),
                fleet.readers(),
                fleet.is_store_info_stale(now),
            )
        };
        if drawn.is_none() || fastrand::f64() < SEED_SHARE {
            let seed = self.draw_seed();
            return if fastrand::bool() { seed.or(lost) } else { lost.or(seed) }.or(drawn);
        }
        if (is_store_info_stale || round.is_multiple_of(2)) && !readers.contains(&own) {
            return fastrand::choice(readers).or(drawn);
        }
        drawn
    }

    fn draw_seed(&self) -> Option<SocketAddr> {
        let own = lock(&self.fleet).membership.own().address;
        let others: Vec<SocketAddr> = lock(&self.seeds).iter().copied().filter(|seed| *seed != own).collect();
        fastrand::choice(others)
    }

    /// Tells a host how far this one has come, and takes what this one lacks.
    async fn exchange(&self, peer: SocketAddr, within: Duration) {
        let message = lock(&self.fleet).gossip_message(now());
        let answer =
            self.client.post_msgpack_compact::<GossipMessage>(peer, GOSSIP_PATH, &message, within).await;
        let is_news = {
            let mut fleet = lock(&self.fleet);
            match answer {
                Ok(answer) => {
                    self.core.instruments.gossip_exchange("answered");
                    fleet.merge_message(now(), answer)
                }
                Err(error) => {
                    self.core.instruments.gossip_exchange("failed");
                    if fleet.membership.suspect(now(), peer) {
                        log_event(Code::HostSuspected, "", &format!("{peer}: {error}"));
                    }
                    false
                }
            }
        };
        if is_news {
            self.push_requested.notify_one();
        }
    }

    /// Asks a host for what this one lacks, unless it asks already.
    fn catch_up(&self, peer: SocketAddr) {
        if self.is_catching_up.swap(true, Ordering::SeqCst) {
            return;
        }
        let gossip = self.clone();
        tokio::spawn(async move {
            gossip.exchange(peer, PEER_TIMEOUT).await;
            gossip.is_catching_up.store(false, Ordering::SeqCst);
        });
    }
}

/// Takes other hosts' messages.
#[derive(Debug)]
pub(crate) struct GossipSite(pub(crate) Gossip);

impl HttpHandler for GossipSite {
    async fn respond(&self, call: HttpRequest) -> Reply {
        if call.path != GOSSIP_PATH {
            return Reply::not_found();
        }
        let Ok(news) = egret_wire::decode::<GossipMessage>(&call.body) else {
            return Reply::text(400, "the message cannot be read: check the sender's version\n");
        };
        let sender = news.members.first().map(|member| member.address);
        let (answer, is_behind, is_news) = {
            let mut fleet = lock(&self.0.fleet);
            let answer = fleet.reply_to(now(), &news);
            let is_behind = fleet.is_behind(&news);
            let is_news = fleet.merge_message(now(), news);
            (answer, is_behind, is_news)
        };
        if is_news {
            self.0.push_requested.notify_one();
        }
        if let Some(sender) = sender.filter(|_| is_behind) {
            self.0.catch_up(sender);
        }
        Reply::msgpack_compact(&answer)
    }
}

fn start_interval(round: u64) -> Duration {
    let doublings = round.min(GOSSIP_INTERVAL.as_millis() as u64 / START_INTERVAL.as_millis() as u64);
    (START_INTERVAL * 2_u32.pow(doublings as u32)).min(GOSSIP_INTERVAL)
}
