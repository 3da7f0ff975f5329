//! Following the platform's store, where this host is a reader.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_decision};
use egret_routes::RegistryEntry;

use crate::{
    core::lock,
    gossip::Gossip,
    lapse_guard::LapseGuard,
    store::{Store, StoreError},
};

/// How long a watch waits; its end confirms that nothing changed.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The pause after a watch that brought changes, so that a burst of them is one call.
const COALESCE: Duration = Duration::from_millis(200);
/// The pause after a failed call, doubled with each further one.
const RETRY_FIRST: Duration = Duration::from_millis(200);
const RETRY_DOUBLINGS_MAX: u32 = 2;
/// How often a host that is no reader looks whether it has to be one.
const DUTY_CHECKED_EVERY: Duration = Duration::from_millis(200);

/// How a reader's calls went lately.
#[derive(Debug, Default)]
struct Calls {
    failures: u32,
}

impl Calls {
    fn succeeded(&mut self) {
        if self.failures > 0 {
            log_decision(Code::StoreRegained, "", &format!("after {} failed calls", self.failures));
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: &StoreError) {
        if self.failures == 0 {
            log_decision(Code::PlatformUnreachable, "", &error.to_string());
        }
        let pause = RETRY_FIRST * 2_u32.pow(self.failures.min(RETRY_DOUBLINGS_MAX));
        self.failures += 1;
        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Waits until this host has to read; returns whether others read meanwhile.
async fn wait_for_duty(gossip: &Gossip) -> bool {
    let mut has_waited = false;
    while !lock(&gossip.beliefs).must_read(now()) {
        has_waited = true;
        tokio::time::sleep(DUTY_CHECKED_EVERY.mul_f64(0.5 + fastrand::f64())).await;
    }
    has_waited
}

/// Follows the configuration.
pub(crate) async fn follow_table(store: Arc<impl Store>, gossip: Gossip) {
    let mut calls = Calls::default();
    let mut position = None;
    loop {
        if wait_for_duty(&gossip).await {
            position = None;
        }
        let sent_at = now();
        let read = match position {
            None => store.read_table().await,
            Some(after) => store.watch_table(after, WATCH_WAIT).await,
        };
        match read {
            Ok(read) => {
                calls.succeeded();
                position = Some(read.revision);
                let is_news = {
                    let mut beliefs = lock(&gossip.beliefs);
                    beliefs.confirm(sent_at);
                    read.changes.into_iter().fold(false, |news, table| beliefs.take_table(Arc::new(table)) || news)
                };
                if is_news {
                    gossip.news.notify_one();
                }
            }
            Err(StoreError::HistoryLost) => position = None,
            Err(error) => {
                position = None;
                calls.failed(&error).await;
            }
        }
    }
}

/// Follows the replicas.
pub(crate) async fn follow_replicas(store: Arc<impl Store>, gossip: Gossip) {
    let mut calls = Calls::default();
    let mut guard = LapseGuard::default();
    let mut position = None;
    loop {
        if wait_for_duty(&gossip).await {
            position = None;
        }
        let read = match position {
            None => read_all(&*store, &gossip).await,
            Some(after) => store
                .watch_replicas(after, WATCH_WAIT)
                .await
                .map(|watched| (watched.revision, watched.changes)),
        };
        match read {
            Ok((revision, changes)) => {
                calls.succeeded();
                guard.succeeded(now());
                position = Some(revision);
                let is_quiet = changes.is_empty();
                let passed = guard.pass(now(), changes);
                let is_news =
                    lock(&gossip.beliefs).take_entries(passed, revision, guard.complete_before());
                if is_news {
                    gossip.news.notify_one();
                }
                if !is_quiet {
                    tokio::time::sleep(COALESCE).await;
                }
            }
            Err(StoreError::HistoryLost) => position = None,
            Err(error) => {
                guard.failed();
                // The history may be gone when the store is back; the position is tried first.
                calls.failed(&error).await;
            }
        }
    }
}

/// Reads all replicas; those that are known and no longer listed count as deleted.
async fn read_all(store: &impl Store, gossip: &Gossip) -> Result<(u64, Vec<RegistryEntry>), StoreError> {
    let delta = store.read_replicas().await?;
    let beliefs = lock(&gossip.beliefs);
    let is_listed = |id: &str| delta.entries.iter().any(|entry| *entry.id == *id);
    let vanished = beliefs.registry.present().filter(|known| known.revision <= delta.synced && !is_listed(&known.id));
    let deletions: Vec<RegistryEntry> = vanished
        .map(|known| RegistryEntry { revision: delta.synced, gone: true, ..known.clone() })
        .collect();
    drop(beliefs);
    let mut changes = delta.entries;
    changes.extend(deletions);
    Ok((delta.synced, changes))
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
