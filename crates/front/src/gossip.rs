//! Gossip between hosts: periodic exchanges, pushes of changes, and the handler of messages.

use std::{
    any::Any,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use egret_events::{Code, log_event};
use egret_members::{GossipMessage, Member};
use egret_node::{ExchangeError, HttpClient, HttpHandler, HttpRequest, Reply};
use tokio::sync::Notify;

use crate::{
    clock::now,
    core::{Core, lock},
    fleet_view::{FleetView, JOIN_PERIOD},
    memory_account::MemoryUse,
};

/// The path on which a host receives gossip.
const GOSSIP_PATH: &str = "/v1/news";
/// The mean time between two exchanges that a host starts.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(700);
/// The time over which this host's load is averaged, so that the choice of gatherers does not change
/// with each burst.
const LOAD_INTERVAL: Duration = Duration::from_secs(3);
/// The time between the first two rounds of a host that is bootstrapping; it doubles with each
/// round up to [`GOSSIP_INTERVAL`].
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(50);
/// The mean time between two exchanges of a host that joins. A seed on a tenth of a core answers
/// several hundred hosts that do so.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// Peers of the same data centre to which a change is pushed; with three, it reaches all hosts there
/// in a few steps.
const PUSH_PEERS: usize = 3;
/// The minimum time between two pushes, so that a series of changes goes out together.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of an exchange: longer than a busy host needs, shorter than the time for which a
/// suspect counts as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout of an exchange of a host that is bootstrapping or joins: a peer that starts too may not
/// listen yet, and a connection attempt that it missed is only repeated after a second.
const JOIN_TIMEOUT: Duration = Duration::from_millis(250);
/// The share of rounds that contact a seed or an unreachable host, so that the parts of a fleet that
/// was partitioned find each other again.
const REJOIN_SHARE: f64 = 0.06;

/// The gossip client of this host; its clones share the state of the control thread's tasks.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    pub(crate) fleet: Arc<Mutex<FleetView>>,
    /// Wakes the task that pushes changes.
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

    /// Runs the periodic exchanges: with all seeds while this host is bootstrapping, else with one
    /// peer per round.
    pub(crate) async fn run(self) {
        let mut counted_at = now();
        let mut parts_per_s = 0;
        for round in 0_u64.. {
            let elapsed = now().saturating_duration_since(counted_at);
            if elapsed >= LOAD_INTERVAL {
                counted_at = now();
                parts_per_s = (self.core.take_part_count() as f64 / elapsed.as_secs_f64()) as u32;
            }
            let is_bootstrapping = lock(&self.fleet).is_bootstrapping();
            if is_bootstrapping {
                self.contact_seeds();
            } else if let Some(peer) = self.next_peer(round, parts_per_s) {
                let timeout = if self.is_joining() { JOIN_TIMEOUT } else { PEER_TIMEOUT };
                self.exchange(peer, timeout).await;
            }
            lock(&self.fleet).choose_gatherers(now());
            let interval = if is_bootstrapping {
                bootstrap_interval(round)
            } else if self.is_joining() {
                JOIN_INTERVAL
            } else {
                GOSSIP_INTERVAL
            };
            tokio::time::sleep(interval.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        }
    }

    /// Pushes each change of the configuration, the replicas or the hosts that reach them to some peers at
    /// once.
    pub(crate) async fn push(self) {
        loop {
            self.push_requested.notified().await;
            // Which hosts reach the targets may have changed.
            lock(&self.fleet).choose_gatherers(now());
            for peer in self.push_peers() {
                let gossip = self.clone();
                tokio::spawn(async move { gossip.exchange(peer, PEER_TIMEOUT).await });
            }
            tokio::time::sleep(PUSH_INTERVAL).await;
        }
    }

    /// Stops the use of targets that announced in a response that they shut down, and pushes that to
    /// some peers.
    pub(crate) async fn forward_leaving_targets(self) {
        loop {
            let runs = self.core.next_leaving_targets().await;
            if lock(&self.fleet).merge_leaving(runs) {
                self.push_requested.notify_one();
            }
        }
    }

    /// Tells the other hosts when this host reaches no target any more, and when it does again.
    pub(crate) async fn follow_reach(self) {
        let mut partitioned = self.core.watch_partition();
        while partitioned.changed().await.is_ok() {
            let is_partitioned = *partitioned.borrow_and_update();
            {
                let mut fleet = lock(&self.fleet);
                fleet.set_reaches_targets(now(), !is_partitioned);
                fleet.choose_gatherers(now());
            }
            self.push_requested.notify_one();
        }
    }

    fn push_peers(&self) -> Vec<SocketAddr> {
        let fleet = lock(&self.fleet);
        fleet.membership.sample_push_peers(now(), PUSH_PEERS, fleet.is_reader())
    }

    /// Announces to some peers that this host shuts down.
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

    /// Contacts all seeds at once, so that one that is down does not delay the start.
    fn contact_seeds(&self) {
        let own = lock(&self.fleet).membership.own().address;
        let seeds: Vec<SocketAddr> = lock(&self.seeds).iter().copied().filter(|seed| *seed != own).collect();
        for seed in seeds {
            let gossip = self.clone();
            tokio::spawn(async move { gossip.exchange(seed, JOIN_TIMEOUT).await });
        }
    }

    /// Chooses the peer of a round: by turns any live host, which detects failures, and a reader,
    /// which has the latest state of the store.
    ///
    /// If the store's last known answer is old, every round goes to a reader. Some rounds go to a
    /// seed or an unreachable host instead, as do all while no peer is live.
    fn next_peer(&self, round: u64, parts_per_s: u32) -> Option<SocketAddr> {
        let now = now();
        let (own, live, unreachable, readers, is_store_info_stale) = {
            let mut fleet = lock(&self.fleet);
            fleet.membership.refresh(now, parts_per_s);
            let membership = &fleet.membership;
            let live = membership.sample_live(now, 1).pop();
            (
                membership.own().address,
                live,
                membership.sample_unreachable(now),
                fleet.readers(),
                fleet.is_store_info_stale(now),
            )
        };
        if self.is_joining() && round.is_multiple_of(2) {
            return self.draw_seed().or(live);
        }
        if live.is_none() || fastrand::f64() < REJOIN_SHARE {
            let seed = self.draw_seed();
            return if fastrand::bool() { seed.or(unreachable) } else { unreachable.or(seed) }.or(live);
        }
        if (is_store_info_stale || round.is_multiple_of(2)) && !readers.contains(&own) {
            return fastrand::choice(readers).or(live);
        }
        live
    }

    /// Returns whether this host started so recently that it may not know the fleet yet.
    fn is_joining(&self) -> bool {
        lock(&self.fleet).membership.uptime(now()) < JOIN_PERIOD
    }

    fn draw_seed(&self) -> Option<SocketAddr> {
        let own = lock(&self.fleet).membership.own().address;
        let others: Vec<SocketAddr> = lock(&self.seeds).iter().copied().filter(|seed| *seed != own).collect();
        fastrand::choice(others)
    }

    /// Sends this host's message to a peer and merges the reply; a peer that does not reply becomes
    /// suspect.
    async fn exchange(&self, peer: SocketAddr, timeout: Duration) {
        let is_joining = self.is_joining();
        let reply = self.send(peer, timeout).await;
        let has_changed = {
            let mut fleet = lock(&self.fleet);
            match reply {
                Ok(reply) => {
                    self.core.instruments.gossip_exchange("answered");
                    fleet.merge_message(now(), reply)
                }
                Err(ExchangeError::NoMemory { .. }) => {
                    // It says nothing about the peer; a later round asks again.
                    self.core.instruments.gossip_exchange("failed");
                    self.core.memory.note_lost_answer();
                    false
                }
                Err(error) => {
                    self.core.instruments.gossip_exchange("failed");
                    // While a whole fleet starts, a peer that does not answer yet is starting too.
                    if !is_joining && fleet.membership.suspect(now(), peer) {
                        log_event(Code::HostSuspected, "", &format!("{peer}: {error}"));
                    }
                    false
                }
            }
        };
        if has_changed {
            self.push_requested.notify_one();
        }
    }

    /// Sends this host's message to a peer and returns the reply.
    ///
    /// Field names cost bytes, but builds that lack some of the fields need them.
    async fn send(&self, peer: SocketAddr, timeout: Duration) -> Result<GossipMessage, ExchangeError> {
        let (message, reads_compact) = {
            let mut fleet = lock(&self.fleet);
            (fleet.gossip_message(now()), fleet.membership.reads_compact(peer))
        };
        if reads_compact {
            let reply = self.client.post_msgpack_compact(peer, GOSSIP_PATH, &message, timeout).await;
            if !matches!(reply, Err(ExchangeError::BadAnswer { .. })) {
                return reply;
            }
            // The peer may have been replaced by another build.
        }
        self.client.post_msgpack(peer, GOSSIP_PATH, &message, timeout).await
    }

    /// Starts an exchange with a peer that is ahead of this host, unless such an exchange runs.
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

/// Receives gossip and replies to it.
#[derive(Debug)]
pub(crate) struct GossipSite(pub(crate) Gossip);

impl HttpHandler for GossipSite {
    fn reserve(&self, bytes_max: usize) -> Option<Box<dyn Any + Send>> {
        // The decoded message takes as much again.
        let charge = self.0.core.memory.charge(MemoryUse::Messages, 2 * bytes_max)?;
        Some(Box::new(charge))
    }

    async fn respond(&self, call: HttpRequest) -> Reply {
        if call.path != GOSSIP_PATH {
            return Reply::not_found();
        }
        let Ok(message) = egret_wire::decode::<GossipMessage>(&call.body) else {
            return Reply::text(400, "the message cannot be read: check the sender's version\n");
        };
        let reads_compact = message.members.first().is_some_and(Member::reads_compact);
        let sender = message.members.first().map(|member| member.address);
        let (reply, is_behind, has_changed) = {
            let mut fleet = lock(&self.0.fleet);
            let reply = fleet.reply_to(now(), &message);
            let is_behind = fleet.is_behind(message.stated_changes());
            let has_changed = fleet.merge_message(now(), message);
            (reply, is_behind, has_changed)
        };
        if has_changed {
            self.0.push_requested.notify_one();
        }
        if let Some(sender) = sender.filter(|_| is_behind) {
            self.0.catch_up(sender);
        }
        if reads_compact { Reply::msgpack_compact(&reply) } else { Reply::msgpack(&reply) }
    }
}

fn bootstrap_interval(round: u64) -> Duration {
    let doublings = round.min(GOSSIP_INTERVAL.as_millis() as u64 / BOOTSTRAP_INTERVAL.as_millis() as u64);
    (BOOTSTRAP_INTERVAL * 2_u32.pow(doublings as u32)).min(GOSSIP_INTERVAL)
}
