//! The relay's HTTP interface.

use egret_node::{HttpHandler, HttpRequest, Reply};
use egret_wire::{NOTICE_PATH, PREFLIGHT_PATH, RelayGossip, SCATTER_PATH, Scatter, decode};

use crate::{Relay, gossip};

/// Handles requests of entries, other relays and operators.
#[derive(Debug)]
pub struct RelayHandler {
    relay: Relay,
}

impl RelayHandler {
    pub(crate) fn new(relay: Relay) -> Self {
        Self { relay }
    }
}

impl HttpHandler for RelayHandler {
    async fn respond(&self, request: HttpRequest) -> Reply {
        if let Some(reply) = self.relay.ops().respond(&request) {
            return reply;
        }
        match request.path.as_str() {
            SCATTER_PATH => match decode::<Scatter>(&request.body) {
                Ok(scatter) => Reply::msgpack(&self.relay.answer(scatter).await),
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            PREFLIGHT_PATH => match decode::<Scatter>(&request.body) {
                Ok(scatter) => Reply::msgpack(&self.relay.preflight(&scatter)),
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            NOTICE_PATH => match decode::<RelayGossip>(&request.body) {
                Ok(gossip) => {
                    gossip::merge(&self.relay, &gossip);
                    Reply::msgpack(&gossip::local_gossip(&self.relay))
                }
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            _ => Reply::not_found(),
        }
    }
}
