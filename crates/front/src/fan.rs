//! Asking one replica of each service that a request needs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_policy::{GatherAim, GatherProgress, GatherStep, ShardChoice, ShardOutlook, choose_shards, on_time};
use egret_routes::Route;
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    caller_request::CallerRequest,
    core::Core,
    exchange::{ExchangeTerms, exchange},
    target::Target,
    target_set::Want,
    target_answer::{ExchangeResult, LossCause, TargetAnswer},
};

/// How often services that were left out are looked at again.
const RECHECK_EVERY: Duration = Duration::from_millis(15);

/// What came of a fan.
#[derive(Debug, Default)]
pub(crate) struct FanEnd {
    /// One part a service, where it is in.
    pub(crate) parts: Vec<Option<TargetAnswer>>,
    /// Whether enough parts are in for an answer.
    pub(crate) is_enough: bool,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    /// The last failure that a target signed.
    pub(crate) failure: Option<TargetAnswer>,
    /// The last reason why an exchange brought nothing.
    pub(crate) last_loss: Option<LossCause>,
    /// Copies beyond the first of each service.
    pub(crate) extra: u32,
    /// Set where nothing was sent because too many services are overloaded: when to come back.
    pub(crate) refused_for: Option<Duration>,
    /// Services that were left out because they are overloaded.
    pub(crate) left_out: u32,
    /// Services for which no target could be asked.
    pub(crate) without_target: u32,
}

/// What a fan may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FanRules {
    pub(crate) aim: GatherAim,
    /// Whether a request may run again after a copy of it was lost.
    pub(crate) repeats: bool,
    pub(crate) usual: Duration,
    /// Whether another host may have asked targets already, so that first copies are extra.
    pub(crate) is_repeat: bool,
}

/// One copy of a request that ended.
struct CopyEnd {
    shard: usize,
    latency: Duration,
    result: ExchangeResult,
}

/// A request on its way to one replica of each service.
struct Fan<'a> {
    core: &'a Arc<Core>,
    req: &'a Arc<CallerRequest>,
    route: &'a Route,
    services: &'a [Arc<str>],
    rules: FanRules,
    progress: GatherProgress,
    /// Services that are overloaded and not asked yet.
    left_out: Vec<usize>,
    /// Identifiers of the targets that were asked, by service.
    tried: Vec<Vec<Arc<str>>>,
    /// Copies that reached a target or may have, by service.
    arrived: Vec<usize>,
    end: FanEnd,
}

/// Asks one replica of each service until enough parts are in or nothing more can be done.
pub(crate) async fn fan(
    core: &Arc<Core>,
    req: &Arc<CallerRequest>,
    route: &Route,
    services: &[Arc<str>],
    rules: FanRules,
) -> FanEnd {
    let mut fan = Fan {
        core,
        req,
        route,
        services,
        rules,
        progress: GatherProgress::new(services.len(), rules.aim),
        left_out: Vec::new(),
        tried: vec![Vec::new(); services.len()],
        arrived: vec![0; services.len()],
        end: FanEnd { parts: vec![None; services.len()], ..FanEnd::default() },
    };
    let mut running = FuturesUnordered::new();
    if let Err(retry_after) = fan.choose() {
        fan.end.refused_for = Some(retry_after);
        return fan.end;
    }
    for shard in 0..services.len() {
        if fan.progress.is_out(shard) {
            continue;
        }
        running.extend(fan.next_copy(shard).map(|target| fan.copy(shard, target)));
    }
    loop {
        match fan.progress.next(now()) {
            GatherStep::Hedge(shard) => match fan.hedge(shard) {
                Some(target) => running.push(fan.copy(shard, target)),
                None => fan.progress.hedge_refused(shard),
            },
            GatherStep::Answer => {
                let taken_up = fan.take_up();
                if taken_up.is_empty() {
                    fan.end.is_enough = true;
                    return fan.end;
                }
                running.extend(taken_up.into_iter().map(|(shard, target)| fan.copy(shard, target)));
            }
            GatherStep::GiveUp => {
                let taken_up = fan.take_up();
                if !taken_up.is_empty() {
                    running.extend(taken_up.into_iter().map(|(shard, target)| fan.copy(shard, target)));
                    continue;
                }
                // Copies that are still out may be at work.
                fan.end.may_have_run |= !running.is_empty();
                return fan.end;
            }
            GatherStep::Wait(until) => {
                let until = if fan.left_out.is_empty() { until } else { until.min(now() + RECHECK_EVERY) };
                let wake = tokio::time::sleep_until(until.into());
                tokio::select! {
                    biased;
                    Some(copy) = running.next() => {
                        let next = fan.take(copy);
                        running.extend(next.map(|(shard, target)| fan.copy(shard, target)));
                    }
                    () = wake => {
                        let taken_up = fan.take_up();
                        running.extend(taken_up.into_iter().map(|(shard, target)| fan.copy(shard, target)));
                    }
                }
            }
        }
    }
}

impl FanEnd {
    /// Returns what happened, for logs.
    pub(crate) fn summary(&self) -> String {
        let loss = self.last_loss.map_or_else(|| "none".to_owned(), |cause| cause.to_string());
        let signed = self.failure.as_ref().map_or(0, |answer| answer.status.as_u16());
        format!(
            "{} overloaded and left out, {} without target, {} extra copies, may have run: {}, last failure of a target: {signed}, \
             last loss: {loss}",
            self.left_out, self.without_target, self.extra, self.may_have_run
        )
    }
}

impl Fan<'_> {
    /// Leaves out services that are overloaded, where enough others remain.
    fn choose(&mut self) -> Result<(), Duration> {
        if self.services.len() <= 1 {
            return Ok(());
        }
        let targets = self.core.targets.load();
        let now = now();
        let outlooks: Vec<ShardOutlook> =
            self.services.iter().map(|service| targets.outlook(now, service, self.rules.usual)).collect();
        let to_goal = self.rules.aim.goal_at.saturating_duration_since(now);
        match choose_shards(&outlooks, self.rules.aim.least, to_goal) {
            ShardChoice::Ask(asked) => {
                for shard in 0..self.services.len() {
                    if asked.binary_search(&shard).is_err() {
                        self.progress.give_up_shard(shard);
                        self.left_out.push(shard);
                    }
                }
                self.end.left_out = self.left_out.len() as u32;
                Ok(())
            }
            ShardChoice::Refuse(retry_after) => Err(retry_after),
        }
    }

    /// Asks services after all that were left out and now promise a part in time.
    fn take_up(&mut self) -> Vec<(usize, Arc<Target>)> {
        let now = now();
        let to_goal = self.rules.aim.goal_at.saturating_duration_since(now);
        let targets = self.core.targets.load_full();
        let is_in_time = |shard: &usize| {
            let outlook = targets.outlook(now, &self.services[*shard], self.rules.usual);
            outlook.expected.is_some_and(|expected| expected <= on_time(to_goal))
        };
        let (taken, left): (Vec<usize>, Vec<usize>) = self.left_out.iter().partition(|shard| is_in_time(shard));
        self.left_out = left;
        let mut copies = Vec::new();
        for shard in taken {
            self.progress.take_up(shard);
            self.end.left_out -= 1;
            copies.extend(self.next_copy(shard).map(|target| (shard, target)));
        }
        copies
    }

    /// Chooses the target of a first copy, or of a repeat after a failure.
    fn next_copy(&mut self, shard: usize) -> Option<Arc<Target>> {
        let service = &self.services[shard];
        let target = self.core.targets.load().pick(now(), &[service], &self.tried[shard], Want::Any);
        let Some(target) = target else {
            self.end.without_target += u32::from(self.arrived[shard] == 0);
            self.progress.give_up_shard(shard);
            return None;
        };
        if self.arrived[shard] == 0 && !self.rules.is_repeat {
            self.core.earn(now(), service);
        } else if !self.core.spend(now(), service) {
            self.progress.give_up_shard(shard);
            return None;
        } else {
            self.end.extra += 1;
        }
        self.sent(shard, &target);
        Some(target)
    }

    /// Chooses the target of a second copy beside one that still runs.
    fn hedge(&mut self, shard: usize) -> Option<Arc<Target>> {
        let service = &self.services[shard];
        let now_at = now();
        let left = on_time(self.rules.aim.goal_at.saturating_duration_since(now_at));
        // After the goal, a copy that nobody waits behind still shortens the answer's delay.
        let affordable = left.max(self.rules.usual).div_duration_f64(self.rules.usual);
        let want = Want::Within(affordable);
        let target = self.core.targets.load().pick(now_at, &[service], &self.tried[shard], want)?;
        if !self.core.spend(now(), service) {
            return None;
        }
        self.end.extra += 1;
        self.sent(shard, &target);
        Some(target)
    }

    fn sent(&mut self, shard: usize, target: &Arc<Target>) {
        self.tried[shard].push(Arc::clone(&target.replica.id));
        self.arrived[shard] += 1;
        self.progress.sent(now(), shard);
    }

    fn copy(&self, shard: usize, target: Arc<Target>) -> impl Future<Output = CopyEnd> + Send + use<> {
        let sent_at = now();
        let terms = ExchangeTerms {
            end_at: self.rules.aim.end_at,
            usual: self.rules.usual,
            fresh: !self.rules.repeats,
        };
        let run = exchange(Arc::clone(self.core), target, Arc::clone(self.req), terms);
        async move {
            let result = run.await;
            CopyEnd { shard, latency: now().saturating_duration_since(sent_at), result }
        }
    }

    /// Takes the end of a copy; returns the next one to send, where there is one.
    fn take(&mut self, copy: CopyEnd) -> Option<(usize, Arc<Target>)> {
        let shard = copy.shard;
        match copy.result {
            ExchangeResult::Success(answer) => {
                self.core.with_latency(self.route, |latency| latency.add(copy.latency));
                self.progress.arrived(shard);
                self.end.may_have_run = true;
                self.end.parts[shard].get_or_insert(answer);
                return None;
            }
            ExchangeResult::Failure(answer) => {
                self.end.may_have_run = true;
                let is_final = !answer.status.is_server_error();
                if answer.receipt.is_some() {
                    self.end.failure = Some(answer);
                }
                if is_final || !self.rules.repeats {
                    self.progress.failed(shard);
                    self.progress.give_up_shard(shard);
                    return None;
                }
            }
            ExchangeResult::Lost(cause) => {
                self.end.may_have_run = true;
                self.end.last_loss = Some(cause);
                if !self.rules.repeats {
                    self.progress.failed(shard);
                    self.progress.give_up_shard(shard);
                    return None;
                }
            }
            ExchangeResult::NotRun(_) => {}
            ExchangeResult::NotSent => {
                self.arrived[shard] -= 1;
                self.progress.unsent(shard);
                return self.next_copy(shard).map(|target| (shard, target));
            }
        }
        if self.progress.failed(shard) {
            return self.next_copy(shard).map(|target| (shard, target));
        }
        self.progress.give_up_shard(shard);
        None
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
