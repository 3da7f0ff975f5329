//! Attempts that are left when their fan-out ends: which are cancelled, and which complete in the
//! background so that their connections can be used again.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use egret_policy::AttemptEnding;
use egret_routes::Route;
use futures_util::{future::BoxFuture, stream::FuturesUnordered};

use super::{AttemptEnd, FanOutEvent};
use crate::{
    Mechanism,
    attempt_state::{AttemptState, AttemptStep},
    clock::now,
    core::Core,
    target_answer::ExchangeResult,
};

/// How long a connection may still take to open: as long as the handshake that it began may take.
const CONNECTING_TIME_MAX: Duration = Duration::from_millis(250);

/// What a fan-out waits for: an attempt, or the reply of a gatherer in another data centre.
pub(super) struct Running {
    /// The state of an attempt at a target; `None` for a reply of a gatherer.
    attempt: Option<Arc<AttemptState>>,
    event: BoxFuture<'static, FanOutEvent>,
}

impl Running {
    pub(super) fn attempt(
        state: Arc<AttemptState>,
        event: impl Future<Output = FanOutEvent> + Send + 'static,
    ) -> Self {
        Self { attempt: Some(state), event: Box::pin(event) }
    }

    pub(super) fn reply(event: impl Future<Output = FanOutEvent> + Send + 'static) -> Self {
        Self { attempt: None, event: Box::pin(event) }
    }
}

impl Future for Running {
    type Output = FanOutEvent;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FanOutEvent> {
        self.event.as_mut().poll(cx)
    }
}

/// Ends the attempts that are left of a fan-out: those that likely run at their targets complete in the
/// background, all others are cancelled by dropping them.
///
/// This is not called when the fan-out itself is dropped, because its caller or the host that asked for it
/// has closed the connection: then everything is cancelled at once.
pub(super) fn end_left_attempts(
    core: &Arc<Core>,
    route: &Route,
    deadline: Instant,
    running: FuturesUnordered<Running>,
) {
    let may_complete = core.is_enabled(Mechanism::BackgroundCompletion) && !core.is_stopping();
    for left in running {
        let Some(state) = &left.attempt else { continue };
        let until = ending(state, now(), deadline).filter(|_| may_complete);
        let permit = Arc::clone(&core.background_attempts).try_acquire_owned();
        let (Some(until), Ok(permit)) = (until, permit) else {
            core.instruments.attempt_left("cancelled");
            continue;
        };
        state.withdraw();
        let core = Arc::clone(core);
        let route_name = Arc::clone(&route.name);
        tokio::spawn(async move {
            let _permit = permit;
            let end = tokio::select! {
                event = left.event => record(&core, &route_name, event),
                () = tokio::time::sleep_until(until.into()) => "timed out",
                () = core.grace_ended() => "cancelled",
            };
            core.instruments.attempt_left(end);
        });
    }
}

/// Returns until when an attempt may go on, or `None` if it is cancelled.
fn ending(state: &AttemptState, now: Instant, deadline: Instant) -> Option<Instant> {
    if state.target.is_retired() {
        // Its connection could not be used again.
        return None;
    }
    match state.step() {
        AttemptStep::Waiting => None,
        // The handshake has cost the target as much as it will; the connection is kept unused.
        AttemptStep::Connecting => Some(now + CONNECTING_TIME_MAX),
        AttemptStep::Sent(sent) => match sent.ending(now, deadline) {
            AttemptEnding::Cancel => None,
            AttemptEnding::CompleteUntil(until) => Some(until),
        },
    }
}

/// Records the end of an attempt in the background; returns the label of its end.
fn record(core: &Core, route_name: &str, event: FanOutEvent) -> &'static str {
    let FanOutEvent::Attempt(AttemptEnd { latency, result, .. }) = event else { return "cancelled" };
    match result {
        ExchangeResult::Success(_) => {
            core.add_latency(route_name, latency);
            "answered"
        }
        ExchangeResult::NotSent => "not sent",
        ExchangeResult::Failure(_) | ExchangeResult::NotRun(_) | ExchangeResult::Lost(_) => "failed",
    }
}
