//! Telling other candidates of a block what they cannot find out by themselves.
//!
//! Marks of crashing requests and signs of leaving targets are told at once, and
//! again each second while they last. A relay that starts or wakes up asks the
//! others, which answer with what they know (docs/DESIGN.md, "Between relays").

use std::{net::SocketAddr, time::Duration};

use egret_policy::DrainSignal;
use egret_wire::{LeavingTarget, NOTICE_PATH, RelayGossip};
use futures_util::future::join_all;

use crate::{Relay, slot::now};

/// How often notices are repeated, for candidates that could not be reached.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
const MARKS_MAX: usize = 64;
const LEAVING_MAX: usize = 64;

/// Returns what this relay knows.
pub(crate) fn local_gossip(relay: &Relay) -> RelayGossip {
    let mut leaving: Vec<LeavingTarget> = Vec::new();
    for state in relay.services().iter() {
        leaving.extend(
            state.drain_signals(now()).into_iter().map(|sign| leaving_target(state.name().clone(), sign)),
        );
    }
    leaving.truncate(LEAVING_MAX);
    RelayGossip { marks: relay.marks(MARKS_MAX), leaving }
}

/// Takes in what another relay knows.
pub(crate) fn merge(relay: &Relay, gossip: &RelayGossip) {
    gossip.marks.iter().for_each(|mark| relay.merge_mark(*mark));
    gossip.leaving.iter().for_each(|leaving| relay.apply_drain_signal(leaving));
}

/// Tells every neighbour what this relay knows, without waiting.
pub(crate) fn spawn_exchange(relay: &Relay) {
    let relay = relay.clone();
    relay.traffic().clone().spawn(async move { exchange(&relay).await });
}

/// Exchanges notices with every neighbour, which ends when all answered or are late.
pub(crate) async fn exchange(relay: &Relay) {
    let gossip = local_gossip(relay);
    let exchanges = peers(relay).into_iter().map(|peer| exchange_with(relay, peer, &gossip));
    join_all(exchanges).await;
}

async fn exchange_with(relay: &Relay, peer: SocketAddr, gossip: &RelayGossip) {
    let answer: Result<RelayGossip, _> =
        relay.client().post_msgpack(peer, NOTICE_PATH, gossip, NOTICE_TIMEOUT).await;
    if let Ok(answer) = answer {
        merge(relay, &answer);
    }
}

/// Lists the relays that are candidates of a block of this one, sorted.
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

fn leaving_target(service: egret_model::ServiceName, sign: DrainSignal) -> LeavingTarget {
    let DrainSignal { address, incarnation, age } = sign;
    LeavingTarget {
        service,
        address,
        incarnation,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}
