//! Whether a request whose connection broke crashed its target.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_policy::{ConnectOutcome, CrashEvidence, SuspectVerdict, suspect_prober};
use futures_util::future::join_all;

use super::{
    Core, lock,
    reach::{CHECKED_TARGETS, connect_outcome},
};
use crate::{caller_request::CallerRequest, clock::now, connection::Connection, target::Target};

/// The delay after a broken connection until the host tries to connect to the target, to learn
/// whether it crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);
/// How long a connection to another target must last to show that targets can be reached. Shorter than in
/// checks of a partition: until the request is marked, it may crash more targets.
const OTHER_CONNECTION_TIME: Duration = Duration::from_millis(20);

impl Core {
    /// Checks whether a request whose connection broke crashed its target, and marks it as suspect if so.
    pub(crate) fn check_for_crash(self: &Arc<Self>, target: Arc<Target>, req: &Arc<CallerRequest>) {
        let core = Arc::clone(self);
        let req = Arc::clone(req);
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_CHECK_DELAY).await;
            let outcome = match Connection::try_open(&target).await {
                Ok(connection) => {
                    connection.keep(&target);
                    return;
                }
                Err(outcome) => outcome,
            };
            let mut others = core.targets.load().sample(CHECKED_TARGETS + 1);
            others.retain(|other| !Arc::ptr_eq(other, &target));
            let connecting = others.iter().map(|other| connect_outcome(other, OTHER_CONNECTION_TIME));
            let mut outcomes = join_all(connecting).await;
            let is_partitioned = core.is_partitioned();
            if is_partitioned {
                // The links may just have come back: a target that can be reached now shows nothing.
                let opened = outcomes.iter_mut().filter(|outcome| **outcome == ConnectOutcome::Opened);
                opened.for_each(|outcome| *outcome = ConnectOutcome::Silent);
            }
            let evidence = CrashEvidence {
                target: outcome,
                others: &outcomes,
                is_only_target: others.is_empty() && !is_partitioned,
                accounts_for_all: core.accounts_for_all(&req),
                heard_age: core.heard_age(now()),
            };
            if !evidence.is_crash() {
                // This host lost its links; the request need not have to do with it.
                return;
            }
            let breaks = lock(&core.suspects).record_break(now(), req.fingerprint, true);
            let rest =
                if outcomes.contains(&ConnectOutcome::Opened) { "" } else { ", as are all that are known" };
            let detail = format!(
                "target {} is down after this request{rest}; {breaks} crashes so far",
                target.replica.id
            );
            log_event(Code::SuspectMarked, req.id.to_str().unwrap_or_default(), &detail);
        });
    }

    /// Decides what is to be done with a request of a caller that may crash targets.
    pub(crate) fn judge_suspect(&self, req: &CallerRequest) -> SuspectVerdict {
        self.suspects().judge(now(), req.fingerprint, || self.is_prober(req))
    }

    /// Returns what [`Self::judge_suspect`] would decide, without recording that the request arrived.
    pub(crate) fn suspect_verdict(&self, req: &CallerRequest) -> SuspectVerdict {
        self.suspects().verdict(now(), req.fingerprint, || self.is_prober(req))
    }

    /// Returns whether this host is the one that probes a request.
    fn is_prober(&self, req: &CallerRequest) -> bool {
        let sharers = self.limit_sharers.load();
        suspect_prober(req.fingerprint, &sharers.hosts) == Some(self.options.gathers)
    }

    /// Returns whether a request that another host handed over is refused, as it crashes targets. Only the host that
    /// its caller is connected to probes it.
    pub(crate) fn refuses_for_others(&self, req: &CallerRequest) -> bool {
        self.suspects().judge(now(), req.fingerprint, || false) != SuspectVerdict::Run
    }

    /// Returns whether a request was sent to each target, but for those that could not be reached before it came.
    fn accounts_for_all(&self, req: &CallerRequest) -> bool {
        self.targets.load().all().filter(|target| !target.is_retired()).all(|target| {
            let unreachable_since = target.state().unreachable_since;
            req.sent_to.contains(target.replica.address)
                || unreachable_since.is_some_and(|since| since < req.arrived_at)
        })
    }

    /// Records that another host was heard from.
    pub(crate) fn note_peer(&self, now: Instant) {
        *lock(&self.peer_heard_at) = Some(now);
    }

    /// Returns the time since the store or another host was heard from.
    fn heard_age(&self, now: Instant) -> Option<Duration> {
        let peer_age = lock(&self.peer_heard_at).map(|at| now.saturating_duration_since(at));
        self.store_age(now).into_iter().chain(peer_age).min()
    }
}
