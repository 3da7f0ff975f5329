//! Reads and watches the platform's store, on hosts that are readers.

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

/// How long a watch waits for changes; if it ends without any, it confirms that nothing changed.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The pause after a watch that returned changes of replicas, so that a burst takes few calls.
const COALESCING_PAUSE: Duration = Duration::from_millis(200);
/// How often a host that is bootstrapping checks whether it has to read the store.
const BOOTSTRAP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How often a host that is not a reader checks whether it has to read the store.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Counts consecutive failed calls to the store: the first is logged, and later ones pause longer.
#[derive(Debug, Default)]
struct FailureStreak {
    failures: u32,
}

impl FailureStreak {
    fn succeeded(&mut self) {
        if self.failures > 0 {
            log_event(Code::StoreRegained, "", &format!("after {} failed calls to the store", self.failures));
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: &StoreError, gossip: &Gossip) {
        if self.failures == 0 {
            log_event(Code::PlatformUnreachable, "", &error.to_string());
        }
        self.pause(gossip).await;
    }

    /// Pauses after an answer that cannot be used, as after a failure: the next one may come from
    /// the same outdated copy of the store.
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

/// Waits until this host has to read the store; returns whether it had to wait, while other hosts
/// read the store.
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

/// Pushes whether the store answers this host, so that other hosts become readers in its place.
fn set_store_reachable(gossip: &Gossip, store_reachable: bool) {
    if lock(&gossip.fleet).membership.set_store_reachable(store_reachable) {
        gossip.push_requested.notify_one();
    }
}

/// Keeps the configuration and the replicas up to date from the store while this host is a reader.
pub(crate) async fn follow(store: Arc<impl Store>, gossip: Gossip) {
    let mut streak = FailureStreak::default();
    let mut cursor = StoreCursor::default();
    loop {
        if wait_until_reader(&gossip).await {
            // Gossip has brought what other hosts read meanwhile.
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
                let no_replica_changes = read.replicas.is_empty();
                match apply(&gossip, &mut cursor, sent_at, read) {
                    Ok(()) => {
                        streak.succeeded();
                        set_store_reachable(&gossip, true);
                        if !no_replica_changes {
                            tokio::time::sleep(COALESCING_PAUSE).await;
                        }
                    }
                    // The store works, so everything is read again without a pause.
                    Err(UnusableRead::EpochChanged { previous, current }) => log_restored(previous, current),
                    Err(error) => streak.unusable(&error, &gossip).await,
                }
            }
            Err(StoreError::HistoryLost) => {
                gossip.core.instruments.store_call("history lost");
                let detail = format!(
                    "the store dropped changes after position {position:?}: everything is read again"
                );
                log_event(Code::StoreHistoryLost, "", &detail);
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

fn log_restored(previous: u64, current: u64) {
    let detail = format!(
        "the store's epoch is {current}, it was {previous}: \
         everything is read again, and known replicas stay in use"
    );
    log_event(Code::StoreRestored, "", &detail);
}

/// Applies an answer of the store, and pushes what changed.
fn apply(
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
