//! Noticing a relay that took a message and then fell silent.

use std::{net::SocketAddr, time::Duration};

use egret_wire::LIVE_PATH;

use crate::{Entry, entry::now};

/// For how long a relay may say nothing to this entry before it is asked whether it lives.
const LISTEN_FOR: Duration = Duration::from_millis(50);
/// For how long an asked relay may take to say that it lives.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);
/// A wait that ends later than this was the entry's own pause.
const OWN_PAUSE_MIN: Duration = Duration::from_millis(25);

/// Ends when a relay shows no sign of life: no answer to any query, nor to a question.
///
/// A slow target keeps a healthy relay from answering one query, but not from
/// answering that it lives. Only silence moves work elsewhere, so that overload never
/// makes a second relay send the same work to the same targets (docs/DESIGN.md).
pub(crate) async fn wait_until_unresponsive(entry: &Entry, relay: SocketAddr) {
    loop {
        tokio::time::sleep(LISTEN_FOR).await;
        if entry.answered_within(relay, LISTEN_FOR) {
            continue;
        }
        let asked_at = now();
        if entry.begin_liveness_check(relay, ASK_TIMEOUT) {
            let entry = entry.clone();
            tokio::spawn(async move { ask(&entry, relay).await });
        }
        tokio::time::sleep(ASK_TIMEOUT).await;
        let waited = now().saturating_duration_since(asked_at);
        let was_paused = waited >= ASK_TIMEOUT + OWN_PAUSE_MIN;
        if !was_paused && !entry.answered_within(relay, waited) {
            return;
        }
    }
}

async fn ask(entry: &Entry, relay: SocketAddr) {
    if entry.client().get(relay, LIVE_PATH, ASK_TIMEOUT).await.is_ok() {
        entry.relay_lives(relay);
    }
}
