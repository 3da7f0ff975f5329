//! The fan-out of a request to one replica of each service that it needs.

mod attempts;
pub(crate) mod placement;
pub(crate) mod remote_gatherers;
pub(crate) mod skipped;
mod spread;

use std::{
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use arc_swap::Guard;
use egret_policy::{GatherLimits, GatherProgress, GatherStep, WakeDelay};
use egret_routes::{Backend, Route};
use futures_util::{FutureExt, StreamExt, future::BoxFuture, poll, stream::FuturesUnordered};
use tokio::sync::watch;

use self::{
    attempts::{AttemptEnd, NextAttempt},
    remote_gatherers::{RemoteGatherer, RemoteReply},
    skipped::ReadmitWhen,
};
use crate::{
    Mechanism, caller_request::CallerRequest, clock::now, core::Core, fan_out_options::FanOutOptions,
    fan_out_result::FanOutResult, parts_sender::PartsSender, request_work::RequestWork,
    target_set::TargetSet,
};

/// How often skipped services are checked for a target that can take the request now.
const SKIPPED_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// The least number of shards of which one answers soon unless this host is cut off.
const SHARDS_MIN_TO_JUDGE_LINK: usize = 8;

/// What a fan-out runs next.
enum Next {
    /// A request to one more target.
    Attempt(NextAttempt),
    /// Reading one more reply of a gatherer that was asked for parts.
    RemoteReply(RemoteGatherer),
}

/// The end of one of the futures that a fan-out waits for.
enum FanOutEvent {
    Attempt(AttemptEnd),
    RemoteReply(RemoteReply),
}

/// A fan-out in progress. A service and its part are identified by their index in `services`, which
/// the code calls `shard`.
struct FanOut<'a> {
    core: &'a Arc<Core>,
    req: &'a Arc<CallerRequest>,
    route: &'a Route,
    services: &'a [Arc<str>],
    options: FanOutOptions,
    /// Whether the services are the shards of a gather.
    is_gather: bool,
    /// How many records of each part are kept, where the services are shards.
    top_k: Option<usize>,
    progress: GatherProgress,
    /// Services that were skipped at the start or abandoned later for lack of capacity or budget; they
    /// may be readmitted.
    skipped: Vec<usize>,
    /// Identifiers of the targets that were tried, by service.
    tried: Vec<Vec<Arc<str>>>,
    /// Attempts that reached a target or may have, by service.
    delivered: Vec<usize>,
    result: FanOutResult,
    /// The work of the request, if it is placed by its cost: it needs one target, and the targets report
    /// their load.
    placed_work: Option<RequestWork>,
    /// Whether this host lost all targets since the fan-out began, so that no attempt will be answered.
    has_lost_targets: bool,
    /// Whether a target or a gatherer has answered.
    has_answer: bool,
    /// How late this host continues the fan-out of an admitted gather, from when its parts have been sent.
    wake_delay: Option<WakeDelay>,
}

/// Sends a request to one replica of each service, and hedges and retries, until enough parts
/// have arrived or no more can arrive.
pub(crate) async fn fan_out(
    core: &Arc<Core>,
    req: &Arc<CallerRequest>,
    route: &Route,
    services: &[Arc<str>],
    options: FanOutOptions,
    parts_sender: Option<PartsSender>,
) -> FanOutResult {
    // A fan-out that sends its parts to another gatherer sees only some of the shards, so it
    // never ends early: the receiver decides whether it has enough.
    let is_early = parts_sender.is_none() && core.is_enabled(Mechanism::EarlyAnswers);
    let objective_at = if is_early { options.limits.objective_at } else { options.limits.deadline };
    let placed_work = placement::placed_work(&core.targets_within(&req.homes), &services[0], options.work);
    let hedge_delay = placement::hedge_delay(options.limits.hedge_delay, placed_work);
    let limits = GatherLimits { objective_at, hedge_delay, ..options.limits };
    let top_k = match &route.backend {
        Backend::Gather(plan) => Some(plan.top_k),
        Backend::One(_) | Backend::Split(_) => None,
    };
    let mut fan_out = FanOut {
        core,
        req,
        route,
        services,
        options,
        is_gather: top_k.is_some(),
        top_k,
        progress: GatherProgress::new(services.len(), limits),
        skipped: Vec::new(),
        tried: vec![Vec::new(); services.len()],
        delivered: vec![0; services.len()],
        result: FanOutResult {
            parts_sender,
            may_have_run: options.is_repeat,
            ..FanOutResult::new(services.len())
        },
        placed_work,
        has_lost_targets: false,
        has_answer: false,
        wake_delay: None,
    };
    if let Err(retry_after) = fan_out.skip_overloaded() {
        fan_out.count_parts(services.len());
        fan_out.result.overload_retry_after = Some(retry_after);
        return fan_out.result;
    }
    let mut partition = core.watch_partition();
    let mut running = FuturesUnordered::new();
    let gatherers = fan_out.remote_gatherers();
    for (gatherer, shards) in gatherers {
        running.push(fan_out.call_remote_gatherer(gatherer, shards).boxed());
    }
    let shares = fan_out.shares();
    fan_out.count_parts(services.len() - shares.iter().map(|(_, shards)| shards.len()).sum::<usize>());
    for (gatherer, shards) in shares {
        running.push(fan_out.call_remote_gatherer(gatherer, shards).boxed());
    }
    let mut attempts = Vec::new();
    for shard in 0..services.len() {
        if !fan_out.progress.is_abandoned(shard) && !fan_out.progress.has_outstanding_attempt(shard) {
            attempts.extend(fan_out.next_attempt(shard));
        }
    }
    // Nothing has been sent yet: the futures do not run before they are polled.
    if fan_out.lacks_targets() {
        return fan_out.refuse(&attempts);
    }
    running.extend(attempts.into_iter().map(|attempt| fan_out.run_attempt(attempt).boxed()));
    // The first poll sends the parts, which is work of this fan-out and no delay.
    if let Poll::Ready(Some(event)) = poll!(running.next()) {
        let more = fan_out.on_event(event);
        running.extend(more.into_iter().map(|next| fan_out.run(next)));
    }
    fan_out.start_wake_delay();
    loop {
        fan_out.send_due_parts();
        if fan_out.has_lost_targets && options.may_retry {
            fan_out.result.is_enough = fan_out.progress.received_parts() >= options.limits.min_shards;
            return fan_out.finish(!running.is_empty());
        }
        let more = match fan_out.progress.next_step(now()) {
            GatherStep::Hedge(_) if !fan_out.may_hedge() => {
                wait(&mut running, &mut fan_out, &mut partition, now() + SKIPPED_CHECK_INTERVAL).await
            }
            GatherStep::Hedge(shard) => {
                let hedge = fan_out.hedge(shard);
                if hedge.is_none() {
                    fan_out.progress.forbid_hedge(shard);
                }
                hedge.into_iter().map(Next::Attempt).collect()
            }
            GatherStep::Answer => {
                let more = fan_out.readmit(ReadmitWhen::LikelyInTime);
                if more.is_empty() {
                    fan_out.result.is_enough = true;
                    return fan_out.finish(false);
                }
                more.into_iter().map(Next::Attempt).collect()
            }
            GatherStep::Fail => {
                let more = fan_out.readmit(ReadmitWhen::SlotFree);
                if more.is_empty() && !fan_out.can_still_be_enough() {
                    return fan_out.finish(!running.is_empty());
                }
                if more.is_empty() {
                    wait(&mut running, &mut fan_out, &mut partition, now() + SKIPPED_CHECK_INTERVAL).await
                } else {
                    more.into_iter().map(Next::Attempt).collect()
                }
            }
            GatherStep::Wait(until) => {
                let until = if fan_out.skipped.is_empty() {
                    until
                } else {
                    until.min(now() + SKIPPED_CHECK_INTERVAL)
                };
                wait(&mut running, &mut fan_out, &mut partition, until).await
            }
        };
        running.extend(more.into_iter().map(|next| fan_out.run(next)));
    }
}

/// Waits for the end of an attempt, the reply of a gatherer or the loss of all targets, at most until
/// `until`; returns what to run next.
async fn wait<F>(
    running: &mut FuturesUnordered<F>,
    fan_out: &mut FanOut<'_>,
    partition: &mut watch::Receiver<bool>,
    until: Instant,
) -> Vec<Next>
where
    F: Future<Output = FanOutEvent>,
{
    let due_at = fan_out.result.parts_sender.as_ref().and_then(PartsSender::due_at);
    let until = due_at.map_or(until, |due_at| due_at.min(until));
    let wake_at = fan_out.wake_delay.map_or(until, |wake_delay| wake_delay.due_at().min(until));
    tokio::select! {
        biased;
        Some(event) = running.next() => {
            fan_out.record_wake_up(true);
            fan_out.on_event(event)
        }
        Ok(()) = partition.changed() => {
            fan_out.has_lost_targets = fan_out.core.is_cut_off();
            Vec::new()
        }
        () = tokio::time::sleep_until(wake_at.into()) => {
            fan_out.record_wake_up(false);
            if wake_at < until {
                return Vec::new();
            }
            fan_out.readmit(ReadmitWhen::LikelyInTime).into_iter().map(Next::Attempt).collect()
        }
    }
}

impl FanOut<'_> {
    /// Returns the targets to which the request may be sent.
    fn targets(&self) -> Guard<Arc<TargetSet>> {
        self.core.targets_within(&self.req.homes)
    }

    /// Returns the future of what the fan-out runs next.
    fn run(&self, next: Next) -> BoxFuture<'static, FanOutEvent> {
        match next {
            Next::Attempt(attempt) => self.run_attempt(attempt).boxed(),
            Next::RemoteReply(gatherer) => gatherer.next().boxed(),
        }
    }

    /// Records the end of an attempt or a reply of a gatherer; returns what to run next.
    fn on_event(&mut self, event: FanOutEvent) -> Vec<Next> {
        match event {
            FanOutEvent::Attempt(attempt) => {
                self.on_attempt_end(attempt).into_iter().map(Next::Attempt).collect()
            }
            FanOutEvent::RemoteReply(reply) => self.on_remote_reply(reply),
        }
    }

    /// Starts to measure how late this host continues a gather whose end admission uses.
    fn start_wake_delay(&mut self) {
        let is_admitted = self.is_gather && self.result.parts_sender.is_none();
        if is_admitted && self.core.is_enabled(Mechanism::QueryAdmission) {
            let objective = Duration::from_millis(self.route.latency_objective_ms);
            self.wake_delay = Some(WakeDelay::start(now(), objective));
        }
    }

    fn record_wake_up(&mut self, has_part: bool) {
        if let Some(wake_delay) = &mut self.wake_delay {
            wake_delay.record(now(), has_part);
        }
    }

    /// Returns whether hedges may be sent.
    ///
    /// A gatherer that is cut off does not see that the host that sent it the request has given up and sent it elsewhere.
    /// What it sends is held up on its way and arrives later, hedges included, so that a request would run on more replicas
    /// than its route allows. Until any of many shards has answered, the silence is taken to be that of its own link.
    fn may_hedge(&self) -> bool {
        self.has_answer || self.req.sender.is_none() || self.services.len() < SHARDS_MIN_TO_JUDGE_LINK
    }

    fn finish(mut self, is_running: bool) -> FanOutResult {
        // A target may be running an attempt that has not ended.
        self.result.may_have_run |= is_running;
        self.result.skipped = self.skipped.len();
        self.result.host_delay = self.wake_delay.map_or(Duration::ZERO, |wake_delay| wake_delay.total());
        self.set_return_time();
        let is_not_asked = |shard: &usize| self.delivered[*shard] == 0;
        self.result.not_asked = (0..self.services.len()).filter(is_not_asked).collect();
        self.result
    }
}
