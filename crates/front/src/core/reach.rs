//! Whether this host reaches any target: the evidence of its exchanges, and the checks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_policy::{ConnectOutcome, ReachChange};
use futures_util::future::join_all;
use tokio::sync::watch;

use super::{Core, lock};
use crate::{clock::now, connection::Connection, target::Target};

/// How many targets a check tries, so that a few that are down do not look like a partition.
pub(super) const CHECKED_TARGETS: usize = 6;
/// How long a connection that a check opened must last: a device on the way may accept connections
/// itself and then reset them. One short of CPU time did so more than 20 ms later, and a partitioned host
/// took the targets to be reachable again.
const CHECKED_CONNECTION_TIME: Duration = Duration::from_millis(250);
/// How often such a connection is examined, so that a check of connections that are reset at once ends early.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A partitioned host without an answer for this long has no open connection that still works: one
/// check takes that long, and exchanges go on meanwhile.
const ANSWERS_EXPECTED_WITHIN: Duration = Duration::from_millis(250);
/// How often the exchanges in flight are checked for silence.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Returns whether no target can be reached from this host.
    pub(crate) fn is_partitioned(&self) -> bool {
        *self.partitioned.borrow()
    }

    /// Returns a receiver of [`Self::is_partitioned`].
    pub(crate) fn watch_partition(&self) -> watch::Receiver<bool> {
        self.partitioned.subscribe()
    }

    /// Returns whether this host neither reaches a target nor has open connections over which targets
    /// answer.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.is_partitioned()
            && lock(&self.reach).answer_age(now()).is_none_or(|age| age > ANSWERS_EXPECTED_WITHIN)
    }

    /// Records the start of an exchange with a target.
    pub(crate) fn exchange_began(&self, now: Instant, typical_latency: Duration) {
        lock(&self.reach).begin(now, typical_latency);
    }

    /// Records the end of an exchange with a target.
    pub(crate) fn exchange_ended(&self) {
        lock(&self.reach).end();
    }

    /// Records that a target answered.
    pub(crate) fn target_answered(&self, typical_latency: Duration) {
        lock(&self.reach).answered(now(), typical_latency);
    }

    /// Records that a connection to a target was opened.
    pub(crate) fn target_connected(&self, target: &Target) {
        lock(&self.reach).connected(target.replica.address);
    }

    /// Records that a connection to a target failed, and checks whether others can be reached if
    /// several did.
    pub(crate) fn target_connection_failed(self: &Arc<Self>, target: &Target) {
        lock(&self.reach).connection_failed(target.replica.address);
        self.check_reach_if_due();
    }

    /// Returns the time since a target last answered this host.
    pub(crate) fn target_answer_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.reach).answer_age(now)
    }

    /// Checks from time to time whether targets can be reached, while there is reason for doubt.
    pub(crate) async fn watch_reach(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
            self.check_reach_if_due();
        }
    }

    fn check_reach_if_due(self: &Arc<Self>) {
        if lock(&self.reach).start_check(now()) {
            tokio::spawn(Arc::clone(self).check_reach());
        }
    }

    /// Tries to connect to some targets and draws the conclusion.
    async fn check_reach(self: Arc<Self>) {
        let targets = self.targets.load().sample(CHECKED_TARGETS);
        let outcomes = targets.iter().map(|target| connect_outcome(target, CHECKED_CONNECTION_TIME));
        let reached = join_all(outcomes).await;
        // A host without targets has nothing to be partitioned from.
        let has_reached = targets.is_empty() || reached.contains(&ConnectOutcome::Opened);
        let (change, failed, answer_age) = {
            let mut reach = lock(&self.reach);
            let failed = reach.failed_targets();
            (reach.end_check(now(), has_reached), failed, reach.answer_age(now()))
        };
        match change {
            Some(ReachChange::Lost) => {
                let age = answer_age.map_or_else(|| "never".to_owned(), |age| format!("{age:?} ago"));
                let detail = format!(
                    "none of {} targets that were tried; connections to {failed} targets had failed before, \
                     the last answer came {age}",
                    targets.len()
                );
                log_event(Code::TargetsUnreachable, "", &detail);
                self.partitioned.send_replace(true);
            }
            Some(ReachChange::Regained(after)) => {
                log_event(Code::TargetsReachable, "", &format!("after {after:?}"));
                self.targets.load().forget_failures();
                self.partitioned.send_replace(false);
            }
            None => {}
        }
    }
}

/// Tries to connect to a target; a connection that does not last for `lasting` counts as silence.
pub(super) async fn connect_outcome(target: &Arc<Target>, lasting: Duration) -> ConnectOutcome {
    let connection = match Connection::try_open(target).await {
        Ok(connection) => connection,
        Err(outcome) => return outcome,
    };
    let until = now() + lasting;
    while now() < until && !connection.sender.is_closed() {
        tokio::time::sleep(CONNECTION_POLL_INTERVAL).await;
    }
    let is_open = !connection.sender.is_closed();
    connection.keep(target);
    if is_open { ConnectOutcome::Opened } else { ConnectOutcome::Silent }
}
