//! Gossip between the candidate relays of a block.
//!
//! A relay sends the marks of requests that break targets and the drain signals of
//! targets at once, and again each second until they expire, because its peers cannot
//! find them out by themselves. A relay that starts or resumes after a pause asks its
//! peers, which answer with their own gossip (docs/DESIGN.md, "Between relays").

use std::{net::SocketAddr, time::Duration};

use egret_policy::DrainSignal;
use egret_wire::{LeavingTarget, NOTICE_PATH, RelayGossip};
use futures_util::future::join_all;

use crate::{Relay, slot::now};

/// How often gossip is repeated, for peers that could not be reached before.
pub(crate) const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Suspect marks in one message.
const MARKS_MAX: usize = 64;
/// Leaving targets in one message.
const LEAVING_MAX: usize = 64;

/// Returns the marks and drain signals that this relay knows of.
pub(crate) fn local_gossip(relay: &Relay) -> RelayGossip {
    let mut leaving: Vec<LeavingTarget> = Vec::new();
    for state in relay.services().iter() {
        leaving.extend(
            state.drain_signals(now()).into_iter().map(|signal| leaving_target(state.name().clone(), signal)),
        );
    }
    leaving.truncate(LEAVING_MAX);
    RelayGossip { marks: relay.export_marks(MARKS_MAX), leaving }
}

/// Merges the gossip of another relay.
pub(crate) fn merge(relay: &Relay, gossip: &RelayGossip) {
    gossip.marks.iter().for_each(|mark| relay.merge_mark(*mark));
    gossip.leaving.iter().for_each(|leaving| relay.apply_drain_signal(leaving));
}

/// Starts an exchange with all peers without waiting for it.
pub(crate) fn spawn_exchange(relay: &Relay) {
    let relay = relay.clone();
    relay.traffic().clone().spawn(async move { exchange(&relay).await });
}

/// Sends the local gossip to all peers and merges their answers; returns when all have answered or timed out.
pub(crate) async fn exchange(relay: &Relay) {
    let gossip = local_gossip(relay);
    let exchanges = peers(relay).into_iter().map(|peer| exchange_with(relay, peer, &gossip));
    join_all(exchanges).await;
}

async fn exchange_with(relay: &Relay, peer: SocketAddr, gossip: &RelayGossip) {
    let answer: Result<RelayGossip, _> =
        relay.client().post_msgpack(peer, NOTICE_PATH, gossip, EXCHANGE_TIMEOUT).await;
    if let Ok(answer) = answer {
        merge(relay, &answer);
    }
}

/// Returns the relays that share a block with this one as candidates, sorted.
fn peers(relay: &Relay) -> Vec<SocketAddr> {
    let view = relay.view();
    let own = relay.host().as_str();
    let shared = view.blocks().iter().filter(|block| block.is_candidate(own));
    let mut peers: Vec<SocketAddr> = shared
        .flat_map(|block| block.live.iter().chain(&block.all))
        .filter(|candidate| candidate.host.as_str() != own)
        .map(|candidate| candidate.relay)
        .collect();
    peers.sort_unstable();
    peers.dedup();
    peers
}

fn leaving_target(service: egret_model::ServiceName, signal: DrainSignal) -> LeavingTarget {
    let DrainSignal { address, incarnation, age } = signal;
    LeavingTarget {
        service,
        address,
        incarnation,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}
