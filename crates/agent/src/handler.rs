//! The agent's HTTP interface.

use std::time::Duration;

use egret_node::{HttpHandler, HttpRequest, Reply};
use egret_wire::{
    PEER_PATH, PEER_VALUE_PATH, PeerQuery, STATE_PATH, StateQuery, ValueQuery, ValueReply, decode,
};
use serde::de::DeserializeOwned;

use crate::Agent;

const WAIT_MAX_MS: u32 = 10_000;

/// Serves peers, this host's daemons and operators.
#[derive(Debug)]
pub struct AgentHandler {
    agent: Agent,
}

impl AgentHandler {
    pub(crate) fn new(agent: Agent) -> Self {
        Self { agent }
    }

    async fn state(&self, query: StateQuery) -> Reply {
        let wait = Duration::from_millis(u64::from(query.wait_ms.min(WAIT_MAX_MS)));
        let state = self.agent.wait_for(wait, |state| state.local_for(&query)).await;
        Reply::msgpack(&state)
    }

    fn value(&self, query: &ValueQuery) -> Reply {
        Reply::msgpack(&ValueReply { value: self.agent.state().value(&query.key) })
    }
}

impl HttpHandler for AgentHandler {
    async fn respond(&self, call: HttpRequest) -> Reply {
        if let Some(reply) = self.agent.ops().respond(&call) {
            return reply;
        }
        let reply = match call.path.as_str() {
            STATE_PATH => match read::<StateQuery>(&call) {
                Ok(query) => Ok(self.state(query).await),
                Err(reply) => Err(reply),
            },
            PEER_PATH => {
                read::<PeerQuery>(&call).map(|query| Reply::msgpack(&self.agent.answer_peer(&query)))
            }
            PEER_VALUE_PATH => read::<ValueQuery>(&call).map(|query| self.value(&query)),
            _ => Err(Reply::not_found()),
        };
        reply.unwrap_or_else(|refusal| refusal)
    }
}

fn read<T: DeserializeOwned>(call: &HttpRequest) -> Result<T, Reply> {
    decode(&call.body).map_err(|error| Reply::text(400, format!("{error}\n")))
}
