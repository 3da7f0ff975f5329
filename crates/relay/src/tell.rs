//! Telling the other candidates of a block what only this relay has seen.

use std::{sync::Arc, time::Duration};

use egret_model::BlockName;
use egret_policy::LeavingSign;
use egret_wire::{LEAVING_PATH, Leaving};
use serde::Serialize;

use crate::{Relay, service_state::ServiceState, slot::now};

/// How often a sign is repeated, for candidates that started or woke up meanwhile.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a message to every other candidate of a block, without waiting for answers.
///
/// A candidate that cannot be reached learns it from the next repetition, or from
/// what it sees itself.
pub(crate) fn tell_candidates(
    relay: &Relay,
    block: &BlockName,
    path: &'static str,
    message: impl Serialize + Clone + Send + Sync + 'static,
) {
    let view = relay.view();
    let Some(block) = view.block(block) else { return };
    for peer in block.all.iter().filter(|peer| &peer.host != relay.host()) {
        let (client, address, message) = (relay.client().clone(), peer.relay, message.clone());
        relay.traffic().spawn(async move {
            let _: Result<bool, _> = client.post_packed(address, path, &message, TELL_TIMEOUT).await;
        });
    }
}

/// Tells the other candidates which targets of a service leave.
pub(crate) fn tell_leaving(relay: &Relay, state: &Arc<ServiceState>) {
    let service = state.service();
    for LeavingSign { address, incarnation, age } in state.leaving_signs(now()) {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let leaving = Leaving { service: service.name.clone(), address, incarnation, age_ms };
        tell_candidates(relay, &service.block, LEAVING_PATH, leaving);
    }
}
