//! Whether a request that needs one target is sent to the best one, or refused.

use std::time::Duration;

/// The least and the greatest time after which a refused caller is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// The share of the time that waits may take up to which late requests are sent: those in time that
/// arrive after them still have the rest.
const LATE_WAIT_SHARE: f64 = 0.5;

/// The best target for a request, as far as known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementTarget {
    /// How long the request is expected to wait for a slot.
    pub wait: Duration,
    /// When the request is expected to be answered, from now.
    pub completion: Duration,
    /// Whether a slot is estimated to be free.
    pub has_free_slot: bool,
    /// How long the target's queue is expected to stay full.
    pub full_left: Duration,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The mean cost of the requests of its route.
    pub mean_cost: Duration,
    /// Whether that mean was learned from answers.
    pub is_cost_known: bool,
    /// The route's latency objective.
    pub objective: Duration,
    /// What is left until the answer is late; zero for a caller that came back too late to be in time.
    pub until_objective: Duration,
    /// What is left until the caller gives up.
    pub until_deadline: Duration,
}

/// Returns the time after which a refused caller may return, or `None` if the request is sent.
///
/// Sends a request that is expected in time. One that would be late is sent only while the wait is so short
/// that it makes no other request late: a late answer is worth less than one in time, and more than none.
/// All others are refused at once: their callers can still go elsewhere, and the time until a target can
/// complete such a request in time is how far its wait exceeds what is allowed.
#[must_use]
pub fn refusal(request: PlacementRequest, best: PlacementTarget) -> Option<Duration> {
    let clamp = |after: Duration| Some(after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
    if !best.full_left.is_zero() {
        return clamp(best.full_left);
    }
    // Nothing is refused by a cost that is not known yet, and a free slot is used even if its target seems slow:
    // without requests neither estimate would ever be corrected.
    let completion = match (request.is_cost_known, best.has_free_slot) {
        (false, _) => Duration::ZERO,
        (true, true) => best.completion.min(request.mean_cost),
        (true, false) => best.completion,
    };
    if completion >= request.until_deadline {
        return clamp(best.completion.saturating_sub(request.until_deadline));
    }
    if completion <= request.until_objective || best.has_free_slot {
        return None;
    }
    let wait_max = request.objective.saturating_sub(request.mean_cost).mul_f64(LATE_WAIT_SHARE);
    let excess = best.wait.saturating_sub(wait_max);
    if excess.is_zero() { None } else { clamp(excess) }
}
