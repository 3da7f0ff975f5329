//! The part of rule BUDGET about requests that crash replicas.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::client::Outcome;
use crate::replica::Run;

const STABLE_WINDOW: Duration = Duration::from_millis(4000);

/// The retries that count: client attempts that were sent later than `stable_window_ms` after the request had
/// crashed the third replica, and that reached a replica. `crashes` are the request's runs in order.
///
/// The machine passes an attempt on after its client has sent it, so none counts that the machine sent earlier.
pub fn late_retries<'a>(crashes: &[&Run], outcomes: &'a [Outcome]) -> Vec<&'a Outcome> {
    let Some(third_at) = third_replica_crashed_at(crashes) else {
        return Vec::new();
    };
    let reached: BTreeSet<&str> = crashes.iter().map(|run| run.id.as_str()).collect();
    let is_late = |outcome: &&Outcome| {
        outcome.sent_at > third_at + STABLE_WINDOW && reached.contains(outcome.id.as_str())
    };
    outcomes.iter().filter(is_late).collect()
}

fn third_replica_crashed_at(crashes: &[&Run]) -> Option<Instant> {
    let mut replicas = BTreeSet::new();
    crashes.iter().find(|run| replicas.insert(run.replica.as_str()) && replicas.len() == 3).map(|run| run.at)
}
