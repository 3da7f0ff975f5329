//! Asking one replica of each service that a request needs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use egret_events::{Code, log_decision};
use egret_policy::{
    GatherAim, GatherProgress, GatherStep, PartGroup, ShardChoice, ShardOutlook, choose_shards, on_time,
    part_groups,
};
use egret_routes::{Backend, Route};
use futures_util::{FutureExt, StreamExt, stream::FuturesUnordered};

use crate::{
    caller_request::CallerRequest,
    core::Core,
    delegate::{DelegateError, part_call},
    exchange::{ExchangeTerms, exchange},
    fan_end::FanEnd,
    fan_rules::FanRules,
    gather_call::GatherReply,
    gather_frames::FrameReader,
    hand_over::HandOver,
    target::Target,
    target_answer::{ExchangeResult, LossCause},
    target_set::Want,
};

/// How often services that were left out are looked at again.
const RECHECK_EVERY: Duration = Duration::from_millis(15);

/// What a part of a shard is expected to take that a gatherer of another data centre left out.
const OVERLOADED_AFAR: Duration = Duration::from_millis(1000);

/// Parts that a request may lack to wait for room or budget.
const LACKING_MAX: usize = 3;

/// One copy of a request that ended.
struct CopyEnd {
    shard: usize,
    latency: Duration,
    result: ExchangeResult,
}

/// A reply of a gatherer of another data centre, and what reads the next one.
struct GroupReply {
    shards: Vec<usize>,
    result: Result<(GatherReply, FrameReader), DelegateError>,
    is_first: bool,
}

/// A gatherer of another data centre that has further replies.
struct Group {
    shards: Vec<usize>,
    replies: FrameReader,
}

impl Group {
    async fn next(mut self) -> FanEvent {
        let result = self.replies.next().await;
        let result = result.map(|reply| (reply, self.replies));
        FanEvent::Group(GroupReply { shards: self.shards, result, is_first: false })
    }
}

/// What a fan does next.
enum Next {
    Copy(NextCopy),
    Replies(Group),
}

/// What a fan waits for.
enum FanEvent {
    Copy(CopyEnd),
    Group(GroupReply),
}

/// A copy that is to be sent.
struct NextCopy {
    shard: usize,
    target: Arc<Target>,
}

/// Which services that were left out are asked after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    /// Those that promise a part by the goal.
    InTime,
    /// Those that seem to have a free slot.
    WithRoom,
}

/// A request on its way to one replica of each service.
struct Fan<'a> {
    core: &'a Arc<Core>,
    req: &'a Arc<CallerRequest>,
    route: &'a Route,
    services: &'a [Arc<str>],
    rules: FanRules,
    /// Whether the services are the shards of a gather.
    is_gather: bool,
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
    hand_over: Option<HandOver>,
) -> FanEnd {
    // Parts that are handed over are never enough by themselves: the receiver decides.
    let goal_at = if hand_over.is_some() { rules.aim.end_at } else { rules.aim.goal_at };
    let aim = GatherAim { goal_at, ..rules.aim };
    let mut fan = Fan {
        core,
        req,
        route,
        services,
        rules,
        is_gather: matches!(route.backend, Backend::Gather(_)),
        progress: GatherProgress::new(services.len(), aim),
        left_out: Vec::new(),
        tried: vec![Vec::new(); services.len()],
        arrived: vec![0; services.len()],
        end: FanEnd { hand_over, ..FanEnd::new(services.len()) },
    };
    if let Err(retry_after) = fan.choose() {
        fan.end.refused_for = Some(retry_after);
        return fan.end;
    }
    let mut running = FuturesUnordered::new();
    let groups = fan.groups();
    for (gatherer, shards) in groups {
        running.push(fan.ask_group(gatherer, shards).boxed());
    }
    for shard in 0..services.len() {
        if !fan.progress.is_out(shard) && !fan.progress.is_sent(shard) {
            running.extend(fan.next_copy(shard).map(|copy| fan.copy(copy).boxed()));
        }
    }
    loop {
        fan.hand_over();
        let more = match fan.progress.next(now()) {
            GatherStep::Hedge(shard) => {
                let copy = fan.hedge(shard);
                if copy.is_none() {
                    fan.progress.hedge_refused(shard);
                }
                copy.into_iter().map(Next::Copy).collect()
            }
            GatherStep::Answer => {
                let more = fan.take_up(Wanted::InTime);
                if more.is_empty() {
                    fan.end.is_enough = true;
                    return fan.finish(false);
                }
                more.into_iter().map(Next::Copy).collect()
            }
            GatherStep::GiveUp => {
                let more = fan.take_up(Wanted::WithRoom);
                if more.is_empty() && !fan.may_still_be_enough() {
                    return fan.finish(!running.is_empty());
                }
                if more.is_empty() {
                    wait(&mut running, &mut fan, now() + RECHECK_EVERY).await
                } else {
                    more.into_iter().map(Next::Copy).collect()
                }
            }
            GatherStep::Wait(until) => {
                let until = if fan.left_out.is_empty() { until } else { until.min(now() + RECHECK_EVERY) };
                wait(&mut running, &mut fan, until).await
            }
        };
        running.extend(more.into_iter().map(|next| match next {
            Next::Copy(copy) => fan.copy(copy).boxed(),
            Next::Replies(group) => group.next().boxed(),
        }));
    }
}

/// Waits for the end of a copy or of a group, at most until then; returns the copies to send next.
async fn wait<F>(running: &mut FuturesUnordered<F>, fan: &mut Fan<'_>, until: Instant) -> Vec<Next>
where
    F: Future<Output = FanEvent>,
{
    let due_at = fan.end.hand_over.as_ref().and_then(HandOver::due_at);
    let until = due_at.map_or(until, |due_at| due_at.min(until));
    tokio::select! {
        biased;
        Some(event) = running.next() => match event {
            FanEvent::Copy(copy) => fan.take(copy).into_iter().map(Next::Copy).collect(),
            FanEvent::Group(group) => fan.take_group(group),
        },
        () = tokio::time::sleep_until(until.into()) => {
            fan.take_up(Wanted::InTime).into_iter().map(Next::Copy).collect()
        }
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
        let own = &self.core.options.data_centre;
        let outlook = |service: &Arc<str>| {
            let is_far = self.rules.may_group && !targets.is_in(service, own);
            if is_far && self.core.is_overloaded_afar(now, service) {
                return ShardOutlook { expected: Some(OVERLOADED_AFAR), has_room: false };
            }
            targets.outlook(now, service, self.rules.usual)
        };
        let outlooks: Vec<ShardOutlook> = self.services.iter().map(outlook).collect();
        let to_goal = self.rules.aim.goal_at.saturating_duration_since(now);
        match choose_shards(&outlooks, self.rules.aim.least, to_goal) {
            ShardChoice::Ask(asked) => {
                for shard in 0..self.services.len() {
                    if asked.binary_search(&shard).is_err() {
                        self.progress.give_up_shard(shard);
                        self.left_out.push(shard);
                    }
                }
                self.end.overloaded.clone_from(&self.left_out);
                Ok(())
            }
            ShardChoice::Refuse(retry_after) => Err(retry_after),
        }
    }

    /// Asks services after all that were left out.
    fn take_up(&mut self, wanted: Wanted) -> Vec<NextCopy> {
        if self.left_out.is_empty() {
            return Vec::new();
        }
        let now = now();
        let to_goal = self.rules.aim.goal_at.saturating_duration_since(now);
        let targets = self.core.targets.load_full();
        let is_wanted = |shard: &usize| {
            let outlook = targets.outlook(now, &self.services[*shard], self.rules.usual);
            match wanted {
                Wanted::InTime => outlook.expected.is_some_and(|expected| expected <= on_time(to_goal)),
                Wanted::WithRoom => outlook.has_room,
            }
        };
        let (taken, left): (Vec<usize>, Vec<usize>) =
            self.left_out.iter().partition(|shard| is_wanted(shard));
        self.left_out = left;
        let mut copies = Vec::new();
        for shard in taken {
            self.progress.take_up(shard);
            copies.extend(self.next_copy(shard));
        }
        copies
    }

    /// Tells whether services that were left out could still make the answer complete enough.
    ///
    /// A request that lacks more than a few parts would take budget and slots from others
    /// and hardly ever become complete. After half of the time the caller is told, so that it
    /// can come back.
    fn may_still_be_enough(&self) -> bool {
        let lacking = self.rules.aim.least.saturating_sub(self.progress.hopeful());
        let GatherAim { goal_at, end_at, .. } = self.rules.aim;
        let until = goal_at + end_at.saturating_duration_since(goal_at) / 2;
        now() < until && lacking <= self.left_out.len().min(LACKING_MAX)
    }

    fn finish(mut self, is_running: bool) -> FanEnd {
        // Copies that are still out may be at work.
        self.end.may_have_run |= is_running;
        self.end.left_out = self.left_out.len();
        let is_not_asked = |shard: &usize| self.arrived[*shard] == 0;
        self.end.not_asked = (0..self.services.len()).filter(is_not_asked).collect();
        self.end
    }

    /// Finds gatherers of other data centres for shards that have no target nearby.
    fn groups(&self) -> Vec<(Arc<Target>, Vec<usize>)> {
        if !self.rules.may_group {
            return Vec::new();
        }
        let targets = self.core.targets.load();
        let names = targets.data_centres();
        let holders: Vec<Vec<usize>> =
            self.services.iter().map(|service| targets.holders(service, &names)).collect();
        let own = names.iter().position(|name| **name == *self.core.options.data_centre);
        let gatherers = self.core.gatherers.load();
        let mut found = Vec::new();
        for PartGroup { data_centre, mut shards } in part_groups(&holders, own, fastrand::u64(..)) {
            shards.retain(|&shard| !self.progress.is_out(shard));
            if shards.is_empty() {
                continue;
            }
            let gatherer = gatherers.pick(now(), &[&names[data_centre]], &[], Want::Sound);
            found.extend(gatherer.map(|gatherer| (gatherer, shards)));
        }
        found
    }

    /// Asks a gatherer of another data centre for the parts of some shards.
    fn ask_group(
        &mut self,
        gatherer: Arc<Target>,
        shards: Vec<usize>,
    ) -> impl Future<Output = FanEvent> + Send + use<> {
        for &shard in &shards {
            self.progress.sent(now(), shard);
            // The gatherer there decides on second copies.
            self.progress.hedge_refused(shard);
        }
        let call = part_call(gatherer, self.route, self.req, &shards, self.rules.is_repeat);
        async move {
            let result = async {
                let mut replies = call.await?;
                Ok((replies.next().await?, replies))
            };
            FanEvent::Group(GroupReply { shards, result: result.await, is_first: true })
        }
    }

    /// Takes a reply of a gatherer; returns the copies to send for parts that it will not bring.
    fn take_group(&mut self, group: GroupReply) -> Vec<Next> {
        match group.result {
            Ok((reply, replies)) => {
                let is_last = reply.is_last;
                let not_asked = reply.not_asked.clone();
                if !self.take_parts(&group.shards, reply) {
                    return self.lose_group(group.shards, DelegateError::Broken, false);
                }
                if !is_last {
                    return vec![Next::Replies(Group { shards: group.shards, replies })];
                }
                self.leave_unbrought(&group.shards, &not_asked);
                Vec::new()
            }
            Err(error) => self.lose_group(group.shards, error, group.is_first),
        }
    }

    /// Gives up the parts that a gatherer did not bring; those that it asked nobody for may
    /// still be asked from here.
    fn leave_unbrought(&mut self, shards: &[usize], not_asked: &[u32]) {
        for &shard in shards {
            if !self.progress.is_done(shard) {
                self.progress.failed(shard);
                self.progress.give_up_shard(shard);
                if not_asked.contains(&(shard as u32)) {
                    self.left_out.push(shard);
                }
            }
        }
    }

    /// Asks targets for the parts that a gatherer will not bring.
    ///
    /// Which targets it asked is not known, so a shard with more replicas than the route allows
    /// for one request is not asked again.
    fn lose_group(&mut self, shards: Vec<usize>, error: DelegateError, is_first: bool) -> Vec<Next> {
        log_decision(Code::GathererFailed, self.req.id_text(), &format!("parts: {error}"));
        let may_have_run = error.may_have_run() || !is_first;
        self.end.may_have_run |= may_have_run;
        let mut copies = Vec::new();
        for shard in shards {
            if self.progress.is_done(shard) {
                continue;
            }
            self.progress.unsent(shard);
            let replicas = self.core.targets.load().targets_of(&self.services[shard]).len();
            if may_have_run && replicas > self.rules.aim.attempts_max {
                self.progress.give_up_shard(shard);
            } else {
                self.arrived[shard] = usize::from(may_have_run);
                copies.extend(self.next_copy(shard).map(Next::Copy));
            }
        }
        copies
    }

    /// Takes the parts of a reply; returns whether they are all parts that were asked for.
    ///
    /// The records of a reply are merged and cannot be told apart, so a reply with a part that
    /// is in already, or that nobody asked for, is of no use.
    fn take_parts(&mut self, shards: &[usize], reply: GatherReply) -> bool {
        let overloaded = reply.overloaded.iter().filter_map(|&at| self.services.get(at as usize));
        self.core.overloaded_afar(now(), overloaded);
        self.end.may_have_run |= reply.may_have_run;
        self.end.extra = self.end.extra.max(reply.extra);
        let is_wanted = |shard: usize| {
            shards.binary_search(&shard).is_ok()
                && self.end.grouped[shard].is_none()
                && self.end.parts[shard].is_none()
        };
        if !reply.receipts.iter().all(|(shard, _)| is_wanted(*shard as usize)) {
            return false;
        }
        if reply.receipts.is_empty() {
            return true;
        }
        for (shard, receipt) in reply.receipts {
            self.progress.arrived(shard as usize);
            self.end.grouped[shard as usize] = Some(receipt);
        }
        self.end.grouped_records.push(reply.records);
        true
    }

    /// Hands parts over that are due, where another gatherer waits for them.
    fn hand_over(&mut self) {
        if let Some(mut hand_over) = self.end.hand_over.take() {
            hand_over.hand(now(), &self.end);
            self.end.hand_over = Some(hand_over);
        }
    }

    /// Chooses the target of a first copy, or of a repeat after a failure.
    fn next_copy(&mut self, shard: usize) -> Option<NextCopy> {
        let service = &self.services[shard];
        let target = self.core.targets.load().pick(now(), &[service], &self.tried[shard], Want::Any);
        let Some(target) = target else {
            self.end.without_target += u32::from(self.arrived[shard] == 0);
            self.progress.give_up_shard(shard);
            return None;
        };
        if self.arrived[shard] == 0 && !self.rules.is_repeat {
            self.core.earn(now(), service, self.is_gather);
        } else if !self.core.spend(now(), service, self.is_gather) {
            // The budget may allow it later.
            self.progress.give_up_shard(shard);
            self.left_out.push(shard);
            return None;
        } else {
            self.end.extra += 1;
        }
        self.sent(shard, &target);
        Some(NextCopy { shard, target })
    }

    /// Chooses the target of a second copy beside one that still runs.
    fn hedge(&mut self, shard: usize) -> Option<NextCopy> {
        let service = &self.services[shard];
        let now_at = now();
        let left = on_time(self.rules.aim.goal_at.saturating_duration_since(now_at));
        // After the goal, a copy that nobody waits behind still shortens the answer's delay.
        let affordable = left.max(self.rules.usual).div_duration_f64(self.rules.usual);
        let want = Want::Within(affordable);
        let target = self.core.targets.load().pick(now_at, &[service], &self.tried[shard], want)?;
        if !self.core.spend(now(), service, self.is_gather) {
            return None;
        }
        self.end.extra += 1;
        self.sent(shard, &target);
        Some(NextCopy { shard, target })
    }

    fn sent(&mut self, shard: usize, target: &Arc<Target>) {
        self.tried[shard].push(Arc::clone(&target.replica.id));
        self.arrived[shard] += 1;
        self.progress.sent(now(), shard);
    }

    fn copy(&self, next: NextCopy) -> impl Future<Output = FanEvent> + Send + use<> {
        let NextCopy { shard, target } = next;
        let sent_at = now();
        let terms = ExchangeTerms {
            end_at: self.rules.aim.end_at,
            usual: self.rules.usual,
            // An answer to an earlier request may wait on a connection that was used before.
            fresh: !self.rules.repeats || self.end.last_loss == Some(LossCause::Foreign),
            is_shard: self.is_gather,
        };
        let run = exchange(Arc::clone(self.core), target, Arc::clone(self.req), terms);
        async move {
            let result = run.await;
            let latency = now().saturating_duration_since(sent_at);
            FanEvent::Copy(CopyEnd { shard, latency, result })
        }
    }

    /// Takes the end of a copy; returns the next one to send, where there is one.
    fn take(&mut self, copy: CopyEnd) -> Option<NextCopy> {
        let shard = copy.shard;
        match copy.result {
            ExchangeResult::Success(answer) => {
                self.core.with_latency(self.route, |latency| latency.add(copy.latency));
                self.core.instruments.part(copy.latency);
                self.progress.arrived(shard);
                self.end.may_have_run = true;
                if self.end.grouped[shard].is_none() {
                    self.end.parts[shard].get_or_insert(answer);
                }
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
            ExchangeResult::NotRun(_) => {
                if !self.progress.failed(shard) {
                    self.progress.give_up_shard(shard);
                    if !self.progress.is_done(shard) && self.progress.is_out(shard) {
                        // A replica that had no room may have some later.
                        self.tried[shard].clear();
                        self.left_out.push(shard);
                    }
                    return None;
                }
                return self.next_copy(shard);
            }
            ExchangeResult::NotSent => {
                self.arrived[shard] -= 1;
                self.progress.unsent(shard);
                return self.next_copy(shard);
            }
        }
        if self.progress.failed(shard) {
            return self.next_copy(shard);
        }
        self.progress.give_up_shard(shard);
        None
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
