//! Admission of work to the queue, and the refusal of work that cannot end in time.

use std::time::{Duration, Instant};

use egret_model::MissCause;

use crate::{Admission, Baseline, Decision, Dispatcher, OfferOutcome, Refused, Work};

/// The share of its time budget that work may be expected to wait, so that little work is refused after
/// a wait.
const WAIT_SHARE_MAX: f64 = 0.5;
/// When to retry where no replica is live.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_millis(500);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Returns the refusal that work would get now, without admitting it.
    #[must_use]
    pub fn would_refuse(&self, now: Instant, work: &Work) -> Option<Refused> {
        let waits = || self.choose(now, &work.replicas, work.unproven).is_none();
        let admission_refusal = || self.admission_refusal(now, self.queue.position(work), work.deadline);
        self.refusal(now, work).or_else(|| if waits() { admission_refusal() } else { None })
    }

    pub(crate) fn refusal(&self, now: Instant, work: &Work) -> Option<Refused> {
        if work.deadline <= now {
            return Some(Refused { cause: MissCause::Deadline, retry_after: RETRY_AFTER_MIN });
        }
        match self.live_among(now, &work.replicas).len() {
            0 => Some(Refused { cause: MissCause::NoLiveReplica, retry_after: NO_REPLICA_RETRY_AFTER }),
            // A request that may crash targets must not reach the last live replica.
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
        if let Some(refused) = self.admission_refusal(now, ahead, work.deadline) {
            return OfferOutcome { admission: Admission::Refused(refused), decisions: Vec::new() };
        }
        let id = work.id;
        self.queue.insert(work);
        let mut decisions = Vec::new();
        if self.queue.len() > self.limits.queue {
            let last =
                self.queue.pop_last().map(|work| Decision::Refuse(work.id, self.refused_as_overloaded(now)));
            decisions.extend(last);
        }
        self.refuse_late(now, &mut decisions);
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

    /// Returns a refusal where new work would wait for too large a share of its time budget.
    ///
    /// This is stricter than [`Self::overload_refusal`]: work of better classes may still come
    /// ahead of it, and a caller that is refused after a wait has less time left to retry.
    pub(crate) fn admission_refusal(&self, now: Instant, ahead: usize, deadline: Instant) -> Option<Refused> {
        if self.limits.baseline == Baseline::Arrival {
            return None;
        }
        let budget = deadline.saturating_duration_since(now).saturating_sub(self.latency.mean());
        let late = self.expected_wait(now, ahead) > budget.mul_f64(WAIT_SHARE_MAX);
        late.then(|| self.refused_as_overloaded(now))
    }

    /// Returns a refusal where work with `ahead` pieces of work before it cannot end by its deadline.
    fn overload_refusal(&self, now: Instant, ahead: usize, deadline: Instant) -> Option<Refused> {
        if self.limits.baseline == Baseline::Arrival {
            return None;
        }
        let wait = self.expected_wait(now, ahead);
        let late = now + wait + self.latency.mean() > deadline;
        late.then(|| self.refused_as_overloaded(now))
    }

    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        self.latency.mean() * (ahead as u32 + 1) / self.live_slots(now)
    }

    fn refused_as_overloaded(&self, now: Instant) -> Refused {
        let until_drained = self.expected_wait(now, self.queue.len()).max(RETRY_AFTER_MIN);
        Refused { cause: MissCause::Overload, retry_after: until_drained }
    }

    /// Refuses queued work that can no longer end in time.
    pub(crate) fn refuse_late(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let mut queue = std::mem::take(&mut self.queue);
        let overloaded = self.refused_as_overloaded(now);
        queue.retain(|position, work| {
            let late =
                self.refusal(now, work).or_else(|| self.overload_refusal(now, position, work.deadline));
            if let Some(mut refused) = late {
                if refused.cause == MissCause::Overload {
                    refused = overloaded;
                }
                decisions.push(Decision::Refuse(work.id, refused));
            }
            late.is_none()
        });
        self.queue = queue;
    }
}
