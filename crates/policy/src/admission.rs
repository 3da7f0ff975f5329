//! Which work may wait, and when a wait is given up.

use std::time::{Duration, Instant};

use egret_model::MissCause;

use crate::{Admission, Baseline, Decision, Dispatcher, OfferOutcome, Refused, Work};

/// The share of its budget that work may expect to wait, so that few waits end in vain.
const WAIT_SHARE_MAX: f64 = 0.5;
const PROBE_RETRY_AFTER: Duration = Duration::from_millis(500);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Tells, without taking anything, whether work would be refused now.
    #[must_use]
    pub fn would_refuse(&self, now: Instant, work: &Work) -> Option<Refused> {
        let waits = || self.choose(now, &work.replicas, work.unproven).is_none();
        let admission = || self.admission(now, self.queue.position(work), work.deadline);
        self.refusal(now, work).or_else(|| if waits() { admission() } else { None })
    }

    pub(crate) fn refusal(&self, now: Instant, work: &Work) -> Option<Refused> {
        if work.deadline <= now {
            return Some(Refused { cause: MissCause::Deadline, retry_after: RETRY_AFTER_MIN });
        }
        match self.live_among(now, &work.replicas).len() {
            0 => Some(Refused { cause: MissCause::NoLiveReplica, retry_after: PROBE_RETRY_AFTER }),
            // A suspect must not take down the last replica.
            1 if work.suspect => Some(Refused { cause: MissCause::Suspect, retry_after: crate::MARK_TTL }),
            _ => None,
        }
    }

    fn live_slots(&self, now: Instant) -> u32 {
        let live =
            self.replicas.iter().filter(|replica| replica.is_live(now) && !replica.is_ejected(now)).count();
        live.max(1) as u32 * u32::from(self.limits.slots)
    }

    pub(crate) fn enqueue(&mut self, now: Instant, work: Work) -> OfferOutcome {
        let ahead = self.queue.position(&work);
        if let Some(refused) = self.admission(now, ahead, work.deadline) {
            return OfferOutcome { admission: Admission::Refused(refused), decisions: Vec::new() };
        }
        let id = work.id;
        self.queue.insert(work);
        let mut decisions = Vec::new();
        if self.queue.len() > self.limits.queue {
            let last = self.queue.pop_last().map(|work| Decision::Refuse(work.id, self.overloaded(now)));
            decisions.extend(last);
        }
        self.refuse_hopeless(now, &mut decisions);
        let own = decisions
            .iter()
            .position(|decision| matches!(decision, Decision::Refuse(other, _) if *other == id));
        match own.map(|at| decisions.remove(at)) {
            Some(Decision::Refuse(_, refused)) => {
                OfferOutcome { admission: Admission::Refused(refused), decisions }
            }
            _ => OfferOutcome { admission: Admission::Queued, decisions },
        }
    }

    /// Returns a refusal where new work would wait for too large a share of its budget.
    ///
    /// Stricter than [`Self::overload`]: work of better classes may still come, and
    /// a wait that ends in vain has kept its caller from coming back in time.
    pub(crate) fn admission(&self, now: Instant, ahead: usize, deadline: Instant) -> Option<Refused> {
        if self.limits.baseline == Baseline::Arrival {
            return None;
        }
        let budget = deadline.saturating_duration_since(now).saturating_sub(self.latency.mean());
        let late = self.expected_wait(now, ahead) > budget.mul_f64(WAIT_SHARE_MAX);
        late.then(|| self.overloaded(now))
    }

    /// Returns a refusal where work with so much ahead of it cannot end in time.
    fn overload(&self, now: Instant, ahead: usize, deadline: Instant) -> Option<Refused> {
        if self.limits.baseline == Baseline::Arrival {
            return None;
        }
        let wait = self.expected_wait(now, ahead);
        let late = now + wait + self.latency.mean() > deadline;
        late.then(|| self.overloaded(now))
    }

    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        self.latency.mean() * (ahead as u32 + 1) / self.live_slots(now)
    }

    fn overloaded(&self, now: Instant) -> Refused {
        let drained = self.expected_wait(now, self.queue.len()).max(RETRY_AFTER_MIN);
        Refused { cause: MissCause::Overload, retry_after: drained }
    }

    pub(crate) fn refuse_hopeless(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let mut queue = std::mem::take(&mut self.queue);
        let overloaded = self.overloaded(now);
        queue.retain(|position, work| {
            let hopeless = self.refusal(now, work).or_else(|| self.overload(now, position, work.deadline));
            if let Some(mut refused) = hopeless {
                if refused.cause == MissCause::Overload {
                    refused = overloaded;
                }
                decisions.push(Decision::Refuse(work.id, refused));
            }
            hopeless.is_none()
        });
        self.queue = queue;
    }
}
