//! Following the platform's store, where this host is a reader.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_policy::store_retry_backoff;

use crate::{
    clock::now,
    core::lock,
    gossip::Gossip,
    store::{Store, StoreError, StoreRead},
    store_cursor::{StoreCursor, UnusableRead},
};

/// How long a watch waits; its end confirms that nothing changed.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The pause after a watch that brought changes, so that a burst of them is one call.
const COALESCING_PAUSE: Duration = Duration::from_millis(200);
/// How often a host that knows nothing yet looks whether it has to read.
const BOOTSTRAP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How often a host that is no reader looks whether it has to be one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How a reader's calls went lately.
#[derive(Debug, Default)]
struct FailureStreak {
    failures: u32,
}

impl FailureStreak {
    fn succeeded(&mut self) {
        if self.failures > 0 {
            log_event(Code::StoreRegained, "", &format!("after {} failed calls", self.failures));
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: &StoreError, gossip: &Gossip) {
        if self.failures == 0 {
            log_event(Code::PlatformUnreachable, "", &error.to_string());
        }
        self.pause(gossip).await;
    }

    /// Pauses after an answer that cannot be used: the next one may come from the same copy.
    async fn unusable(&mut self, error: &UnusableRead, gossip: &Gossip) {
        if self.failures == 0 {
            log_event(Code::StoreAnswerDropped, "", &error.to_string());
        }
        self.pause(gossip).await;
    }

    async fn pause(&mut self, gossip: &Gossip) {
        let is_reader = lock(&gossip.fleet).is_reader();
        let pause = store_retry_backoff(self.failures, gossip.core.known_hosts(), is_reader);
        self.failures += 1;
        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Waits until this host has to read; returns whether others read meanwhile.
async fn wait_until_reader(gossip: &Gossip) -> bool {
    let mut has_waited = false;
    while !lock(&gossip.fleet).must_read_store(now()) {
        has_waited = true;
        let every = if lock(&gossip.fleet).is_bootstrapping() {
            BOOTSTRAP_CHECK_INTERVAL
        } else {
            READER_CHECK_INTERVAL
        };
        tokio::time::sleep(every.mul_f64(0.5 + fastrand::f64())).await;
    }
    has_waited
}

/// Tells other hosts whether the store answers this one, so that others read in its place.
fn set_store_reachable(gossip: &Gossip, store_reachable: bool) {
    if lock(&gossip.fleet).membership.set_store_reachable(store_reachable) {
        gossip.push_requested.notify_one();
    }
}

/// Follows configuration and replicas.
pub(crate) async fn follow(store: Arc<impl Store>, gossip: Gossip) {
    let mut streak = FailureStreak::default();
    let mut cursor = StoreCursor::default();
    loop {
        if wait_until_reader(&gossip).await {
            // Others read meanwhile, and told what they read.
            cursor.seek(lock(&gossip.fleet).position());
        }
        let sent_at = now();
        let position = cursor.position();
        let read = match position {
            None => store.read().await,
            Some(position) => store.watch(position.revision, WATCH_WAIT).await,
        };
        match read {
            Ok(read) => {
                gossip.core.instruments.store_call("answered");
                let is_quiet = read.replicas.is_empty();
                match take(&gossip, &mut cursor, sent_at, read) {
                    Ok(()) => {
                        streak.succeeded();
                        set_store_reachable(&gossip, true);
                        if !is_quiet {
                            tokio::time::sleep(COALESCING_PAUSE).await;
                        }
                    }
                    // The store answers; everything is read at once.
                    Err(UnusableRead::EpochChanged { was, now }) => log_restored(was, now),
                    Err(error) => streak.unusable(&error, &gossip).await,
                }
            }
            Err(StoreError::HistoryLost) => {
                gossip.core.instruments.store_call("history lost");
                log_event(Code::StoreHistoryLost, "", &format!("after position {position:?}"));
                cursor.history_lost();
            }
            Err(error) => {
                cursor.store_failed();
                set_store_reachable(&gossip, false);
                gossip.core.instruments.store_call("failed");
                streak.failed(&error, &gossip).await;
            }
        }
    }
}

fn log_restored(was: u64, now: u64) {
    let detail = format!("epoch {now} after {was}: everything is read again, nothing is dropped meanwhile");
    log_event(Code::StoreRestored, "", &detail);
}

/// Takes what the store told, and tells other hosts where it is news.
fn take(
    gossip: &Gossip,
    cursor: &mut StoreCursor,
    sent_at: Instant,
    read: StoreRead,
) -> Result<(), UnusableRead> {
    if lock(&gossip.fleet).apply_read(now(), cursor, sent_at, read)? {
        gossip.push_requested.notify_one();
    }
    Ok(())
}
