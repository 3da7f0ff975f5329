//! Following the platform's store, where this host is a reader.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_decision};
use egret_policy::pause_after_failure;
use egret_routes::RegistryEntry;

use crate::{
    clock::now,
    core::lock,
    gossip::Gossip,
    lapse_guard::LapseGuard,
    store::{Store, StoreError, StoreRead},
};

/// How long a watch waits; its end confirms that nothing changed.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The pause after a watch that brought changes, so that a burst of them is one call.
const COALESCE: Duration = Duration::from_millis(200);
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

    async fn failed(&mut self, error: &StoreError, gossip: &Gossip) {
        if self.failures == 0 {
            log_decision(Code::PlatformUnreachable, "", &error.to_string());
        }
        let is_reader = lock(&gossip.beliefs).is_reader();
        let pause = pause_after_failure(self.failures, gossip.core.known_hosts(), is_reader);
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

/// Tells other hosts whether the store answers this one, so that others read in its place.
fn set_reads_store(gossip: &Gossip, reads_store: bool) {
    if lock(&gossip.beliefs).membership.set_reads_store(reads_store) {
        gossip.news.notify_one();
    }
}

/// Follows configuration and replicas.
pub(crate) async fn follow(store: Arc<impl Store>, gossip: Gossip) {
    let mut calls = Calls::default();
    let mut guard = LapseGuard::default();
    let mut position = None;
    loop {
        if wait_for_duty(&gossip).await {
            // Others read meanwhile, and told what they read.
            position = lock(&gossip.beliefs).position();
        }
        let sent_at = now();
        let read = match position {
            None => read_all(&*store, &gossip).await,
            Some(after) => store.watch(after, WATCH_WAIT).await,
        };
        match read {
            Ok(read) => {
                calls.succeeded();
                set_reads_store(&gossip, true);
                gossip.core.instruments.store_call("answered");
                guard.succeeded(now());
                position = Some(read.revision);
                let is_quiet = read.replicas.is_empty();
                take(&gossip, &mut guard, sent_at, read);
                if !is_quiet {
                    tokio::time::sleep(COALESCE).await;
                }
            }
            Err(StoreError::HistoryLost) => {
                gossip.core.instruments.store_call("history lost");
                log_decision(Code::StoreHistoryLost, "", &format!("after revision {position:?}"));
                position = None;
            }
            Err(error) => {
                guard.failed();
                set_reads_store(&gossip, false);
                gossip.core.instruments.store_call("failed");
                calls.failed(&error, &gossip).await;
            }
        }
    }
}

/// Takes what the store told, and tells other hosts where it is news.
fn take(gossip: &Gossip, guard: &mut LapseGuard, sent_at: Instant, read: StoreRead) {
    let passed = guard.pass(now(), read.replicas);
    let is_news = {
        let mut beliefs = lock(&gossip.beliefs);
        beliefs.confirm(sent_at);
        let mut is_news = beliefs.take_entries(passed, read.revision, guard.complete_before());
        for table in read.tables {
            is_news |= beliefs.take_table(Arc::new(table));
        }
        is_news
    };
    if is_news {
        gossip.news.notify_one();
    }
}

/// Reads everything; replicas that are known and no longer listed count as deleted.
async fn read_all(store: &impl Store, gossip: &Gossip) -> Result<StoreRead, StoreError> {
    let mut read = store.read().await?;
    let is_listed = |id: &str| read.replicas.iter().any(|entry| *entry.id == *id);
    let deletions: Vec<RegistryEntry> = lock(&gossip.beliefs)
        .registry
        .present()
        .filter(|known| known.revision <= read.revision && !is_listed(&known.id))
        .map(|known| RegistryEntry { revision: read.revision, gone: true, ..known.clone() })
        .collect();
    read.replicas.extend(deletions);
    Ok(read)
}
