//! Host lists that arrive from several peers at once.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use egret_agent::{Agent, Options};
use egret_conf::{ContentHash, HostList, HostsUpdate};
use egret_model::Version;
use egret_node::{ExchangeError, HttpClient, HttpRequest, HttpResponse, Transport};
use egret_wire::{PEER_PATH, PeerQuery, PeerState, encode};
use futures_util::future::BoxFuture;

const QUESTIONS: u64 = 20_000;
const SETTLED_WITHIN: Duration = Duration::from_secs(20);
const PEER: &str = "127.0.0.1:2";

/// Peers, each of whose answers carries a newer host list than the one before.
#[derive(Debug, Default)]
struct Peers {
    revision: AtomicU64,
}

impl Transport for Peers {
    fn send(
        &self,
        address: SocketAddr,
        call: HttpRequest,
    ) -> BoxFuture<'static, Result<HttpResponse, ExchangeError>> {
        let is_peer = call.path == PEER_PATH;
        let revision = self.revision.fetch_add(u64::from(is_peer), Ordering::SeqCst) + 1;
        Box::pin(async move {
            if !is_peer {
                return Err(ExchangeError::NotSent { address, reason: "refused".to_owned() });
            }
            let hosts = HostsUpdate::Whole(HostList { revision, hosts: Vec::new() });
            let state = PeerState { head: None, hosts: Some(hosts), heard_ms_ago: 0 };
            Ok(HttpResponse { status: 200, headers: Default::default(), body: encode(&state).into() })
        })
    }
}

fn behind(revision: u64) -> PeerQuery {
    PeerQuery {
        agent: PEER.parse().unwrap(),
        version: Version(0),
        root: ContentHash::default(),
        hosts_revision: revision,
        heard_ms_ago: 0,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_list_never_gives_way_to_an_older_one() {
    let peers = Arc::new(Peers::default());
    let client = HttpClient::with_transport(Arc::clone(&peers) as Arc<dyn Transport>);
    let options = Options::local("host-0", "127.0.0.1:1", "127.0.0.1:9").unwrap();
    let agent = Agent::spawn(Options { client, ..options });
    let mut newest = 0;
    for _ in 0..QUESTIONS {
        // Each question makes the agent ask back, all at once on several threads.
        let _ = agent.answer_peer(&behind(u64::MAX));
        let revision = agent.state().hosts.revision;
        assert!(revision >= newest, "revision {revision} after {newest}");
        newest = revision;
    }
    // Every answer was newer than those before it, so the last one must come into force.
    let newest_told = || peers.revision.load(Ordering::SeqCst);
    let settled = async {
        while newest_told() < QUESTIONS || agent.state().hosts.revision < newest_told() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(SETTLED_WITHIN, settled).await.expect("the newest list comes into force");
}
