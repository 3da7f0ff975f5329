//! Detection of relays that accepted a message and then stopped responding.

use std::{net::SocketAddr, time::Duration};

use egret_wire::LIVE_PATH;

use crate::{Entry, entry::now};

/// How long a relay may send this entry nothing before it gets a liveness check.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(50);
/// How long a relay may take to answer a liveness check.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// A wait that ends this much too late was a pause of the entry itself.
const LOCAL_PAUSE_THRESHOLD: Duration = Duration::from_millis(25);

/// Returns once a relay answers neither queries nor a liveness check.
///
/// A slow target keeps a healthy relay from answering one query, but not from answering a
/// liveness check. Work moves to another relay only if the check fails too, so that overload
/// never makes a second relay send the same work to the same targets (docs/DESIGN.md).
pub(crate) async fn wait_until_unresponsive(entry: &Entry, relay: SocketAddr) {
    loop {
        tokio::time::sleep(SILENCE_THRESHOLD).await;
        if entry.relay_answered_within(relay, SILENCE_THRESHOLD) {
            continue;
        }
        let checked_at = now();
        if entry.begin_liveness_check(relay, LIVENESS_CHECK_TIMEOUT) {
            let entry = entry.clone();
            tokio::spawn(async move { check_liveness(&entry, relay).await });
        }
        tokio::time::sleep(LIVENESS_CHECK_TIMEOUT).await;
        let waited = now().saturating_duration_since(checked_at);
        let was_paused = waited >= LIVENESS_CHECK_TIMEOUT + LOCAL_PAUSE_THRESHOLD;
        if !was_paused && !entry.relay_answered_within(relay, waited) {
            return;
        }
    }
}

async fn check_liveness(entry: &Entry, relay: SocketAddr) {
    if entry.client().get(relay, LIVE_PATH, LIVENESS_CHECK_TIMEOUT).await.is_ok() {
        entry.record_relay_alive(relay);
    }
}
