//! The relay's HTTP interface.

use egret_node::{Call, Reply, Site};
use egret_wire::{LEAVING_PATH, Leaving, MARK_PATH, Mark, SCATTER_PATH, Scatter, decode};

use crate::Relay;

/// Serves entries, other relays and operators.
#[derive(Debug)]
pub struct RelaySite {
    relay: Relay,
}

impl RelaySite {
    pub(crate) fn new(relay: Relay) -> Self {
        Self { relay }
    }
}

impl Site for RelaySite {
    async fn respond(&self, call: Call) -> Reply {
        if let Some(reply) = self.relay.ops().respond(&call) {
            return reply;
        }
        match call.path.as_str() {
            SCATTER_PATH => match decode::<Scatter>(&call.body) {
                Ok(scatter) => Reply::packed(&self.relay.answer(scatter).await),
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            MARK_PATH => match decode::<Mark>(&call.body) {
                Ok(mark) => {
                    self.relay.learn(mark.fingerprint, mark.breaks);
                    Reply::packed(&true)
                }
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            LEAVING_PATH => match decode::<Leaving>(&call.body) {
                Ok(leaving) => {
                    self.relay.learn_leaving(&leaving);
                    Reply::packed(&true)
                }
                Err(error) => Reply::text(400, format!("{error}\n")),
            },
            _ => Reply::not_found(),
        }
    }
}
