//! Messages between hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use egret_members::News;
use egret_node::{Call, HttpClient, Reply, Site};
use tokio::sync::Notify;

use crate::{beliefs::Beliefs, core::lock};

/// The path that takes other hosts' messages.
const NEWS_PATH: &str = "/v1/news";
/// The time between two exchanges that a host begins.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(1000);
/// The time between two rounds while a host knows no other.
const SEED_INTERVAL: Duration = Duration::from_millis(250);
/// Peers that are told at once of what traffic goes by; three reach a fleet in a few steps.
const PUSH_PEERS: usize = 3;
/// How long a peer may take; longer than a busy host needs, shorter than a suspicion.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// The share of rounds that go to a seed, so that parts of a fleet find each other again.
const SEED_SHARE: f64 = 0.1;

/// What the control thread's tasks share.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    pub(crate) beliefs: Arc<Mutex<Beliefs>>,
    pub(crate) news: Arc<Notify>,
    client: HttpClient,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Gossip {
    pub(crate) fn new(beliefs: Beliefs, client: HttpClient, seeds: Vec<SocketAddr>) -> Self {
        Self {
            beliefs: Arc::new(Mutex::new(beliefs)),
            news: Arc::default(),
            client,
            seeds: Arc::new(Mutex::new(seeds)),
        }
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Exchanges messages with a random host, round after round.
    pub(crate) async fn run(self) {
        loop {
            let peer = self.next_peer();
            if let Some(peer) = peer {
                self.exchange(peer).await;
            }
            let is_alone = lock(&self.beliefs).membership.size() == 1;
            let interval = if is_alone { SEED_INTERVAL } else { GOSSIP_INTERVAL };
            tokio::time::sleep(interval.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        }
    }

    /// Tells some peers at once of each change that traffic goes by.
    pub(crate) async fn push(self) {
        loop {
            self.news.notified().await;
            let peers = lock(&self.beliefs).membership.draw(now(), PUSH_PEERS);
            for peer in peers {
                let gossip = self.clone();
                tokio::spawn(async move { gossip.exchange(peer).await });
            }
        }
    }

    /// Tells some peers that this host shuts down.
    pub(crate) async fn leave(&self) {
        let peers = {
            let mut beliefs = lock(&self.beliefs);
            beliefs.membership.leave();
            beliefs.membership.draw(now(), PUSH_PEERS)
        };
        for peer in peers {
            self.exchange(peer).await;
        }
    }

    fn next_peer(&self) -> Option<SocketAddr> {
        let drawn = {
            let mut beliefs = lock(&self.beliefs);
            beliefs.membership.beat(now());
            beliefs.membership.draw(now(), 1).pop()
        };
        match drawn {
            Some(peer) if fastrand::f64() >= SEED_SHARE => Some(peer),
            _ => self.draw_seed().or(drawn),
        }
    }

    fn draw_seed(&self) -> Option<SocketAddr> {
        let own = lock(&self.beliefs).membership.own().address;
        let others: Vec<SocketAddr> = lock(&self.seeds).iter().copied().filter(|seed| *seed != own).collect();
        fastrand::choice(others)
    }

    async fn exchange(&self, peer: SocketAddr) {
        let message = lock(&self.beliefs).news_for(now(), Some(peer));
        let answer = self.client.post_packed::<News>(peer, NEWS_PATH, &message, PEER_TIMEOUT).await;
        // A peer that does not answer is not told of anything; its counter stands still.
        let Ok(answer) = answer else { return };
        let is_news = {
            let mut beliefs = lock(&self.beliefs);
            beliefs.told(peer, &message);
            beliefs.take_news(now(), answer)
        };
        if is_news {
            self.news.notify_one();
        }
    }
}

/// Takes other hosts' messages.
#[derive(Debug)]
pub(crate) struct NewsSite(pub(crate) Gossip);

impl Site for NewsSite {
    async fn respond(&self, call: Call) -> Reply {
        if call.path != NEWS_PATH {
            return Reply::not_found();
        }
        let Ok(news) = egret_wire::decode::<News>(&call.body) else {
            return Reply::text(400, "the message cannot be read: check the sender's version\n");
        };
        let sender = news.members.first().map(|member| member.address);
        let (answer, is_news) = {
            let mut beliefs = lock(&self.0.beliefs);
            let is_news = beliefs.take_news(now(), news);
            let answer = beliefs.news_for(now(), sender);
            if let Some(sender) = sender {
                beliefs.told(sender, &answer);
            }
            (answer, is_news)
        };
        if is_news {
            self.0.news.notify_one();
        }
        Reply::packed(&answer)
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
