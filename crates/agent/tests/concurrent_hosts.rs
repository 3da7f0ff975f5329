//! Host lists that several peers send at once: an older one must never replace a newer one.

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

/// The number of peer queries, each of which makes the agent fetch a host list.
const QUERIES: u64 = 20_000;
/// How long the newest host list may take to come into force.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
const PEER: &str = "127.0.0.1:2";

/// A transport whose peers answer each query with a newer host list than the one before.
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

/// A query from a peer that has a host list with the given revision.
fn peer_query(revision: u64) -> PeerQuery {
    PeerQuery {
        agent: PEER.parse().unwrap(),
        version: Version(0),
        root: ContentHash::default(),
        hosts_revision: revision,
        heard_ms_ago: 0,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_older_host_list_never_replaces_a_newer_one() {
    let peers = Arc::new(Peers::default());
    let client = HttpClient::with_transport(Arc::clone(&peers) as Arc<dyn Transport>);
    let options = Options::local("host-0", "127.0.0.1:1", "127.0.0.1:9").unwrap();
    let agent = Agent::spawn(Options { client, ..options });
    let mut newest = 0;
    for _ in 0..QUERIES {
        // Each query makes the agent query the peer in turn; these run at once on several threads.
        let _ = agent.answer_peer(&peer_query(u64::MAX));
        let revision = agent.state().hosts.revision;
        assert!(revision >= newest, "revision {revision} after {newest}");
        newest = revision;
    }
    // Every answer is newer than those before it, so the last one must come into force.
    let newest_sent = || peers.revision.load(Ordering::SeqCst);
    let converged = async {
        while newest_sent() < QUERIES || agent.state().hosts.revision < newest_sent() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(CONVERGENCE_TIMEOUT, converged).await.expect("the newest list comes into force");
}
