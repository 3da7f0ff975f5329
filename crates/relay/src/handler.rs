//! The relay's HTTP interface.

use egret_node::{HttpHandler, HttpRequest, Reply};
use egret_wire::{NOTICE_PATH, PREFLIGHT_PATH, RelayGossip, SCATTER_PATH, Scatter, decode};

use crate::{Relay, gossip};

/// Serves entries, other relays and operators.
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
    async fn respond(&self, call: HttpRequest) -> Reply {
        if let Some(reply) = self.relay.ops().respond(&call) {
            return reply;
        }
        match call.path.as_str() {
            SCATTER_PATH => match decode::<Scatter>(&call.body) {
                Ok(scatter) => Reply::msgpack(&self.relay.answer(scatter).await),
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            PREFLIGHT_PATH => match decode::<Scatter>(&call.body) {
                Ok(scatter) => Reply::msgpack(&self.relay.preflight(&scatter)),
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            NOTICE_PATH => match decode::<RelayGossip>(&call.body) {
                Ok(notice) => {
                    gossip::merge(&self.relay, &notice);
                    Reply::msgpack(&gossip::local_gossip(&self.relay))
                }
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            _ => Reply::not_found(),
        }
    }
}
