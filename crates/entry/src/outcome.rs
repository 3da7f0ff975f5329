//! Turning what was gathered into an answer or a refusal.

use egret_conf::BelowMinimum;
use egret_model::{Coverage, MissCause, Refusal, RefusalKind, SuspectMark};
use egret_node::Reply;
use egret_policy::POISON_BREAK_COUNT;
use egret_wire::{AnswerHit, MissingShard, QueryAnswer, RefusalBody, ServiceShards};

use crate::{gather::Gathered, plan::Plan};

const RETRY_AFTER_MS: u64 = 500;

/// The end of a query.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// An answer for the caller.
    Answer(Box<QueryAnswer>),
    /// A refusal for the caller.
    Refusal(Box<RefusalBody>),
}

impl Outcome {
    pub(crate) fn refuse(refusal: Refusal) -> Self {
        Self::Refusal(Box::new(refusal.into()))
    }

    /// Returns the HTTP reply that carries the outcome.
    pub(crate) fn reply(&self) -> Reply {
        match self {
            Self::Answer(answer) => Reply::json(200, answer),
            Self::Refusal(body) => Reply::json(body.kind.status(), body).retry_after_ms(body.retry_after_ms),
        }
    }
}

/// Decides what a caller hears.
pub(crate) fn decide(plan: &Plan, gathered: Gathered) -> Outcome {
    let share = gathered.coverage.share();
    let nothing = gathered.coverage.covered().is_empty() && !gathered.coverage.missing().is_empty();
    let below = share + 1e-9 < plan.min_coverage;
    if gathered.decided_early || nothing || (below && plan.below_minimum == BelowMinimum::Refuse) {
        return Outcome::Refusal(Box::new(refusal(plan, &gathered)));
    }
    match answer(plan, gathered) {
        Ok(answer) => Outcome::Answer(Box::new(answer)),
        Err(refusal) => Outcome::refuse(*refusal),
    }
}

fn refusal(plan: &Plan, gathered: &Gathered) -> RefusalBody {
    let causes = causes(&gathered.coverage);
    let kind = kind_of(&causes);
    let missing = gathered.coverage.missing().len();
    let message = format!(
        "{missing} of {} shards are missing, and the minimum coverage is {}",
        plan.shards(),
        plan.min_coverage
    );
    let retry_after_ms = match kind {
        RefusalKind::Poison => gathered.mark.map(held_for_ms),
        _ => Some(gathered.retry_after_ms.unwrap_or(RETRY_AFTER_MS)),
    };
    let refusal = Refusal { kind, ran: gathered.ran, message, retry_after_ms };
    RefusalBody { query: Some(plan.query), causes, ..RefusalBody::from(refusal) }
}

/// Returns for how long a mark keeps its request from running, in milliseconds.
fn held_for_ms(mark: SuspectMark) -> u64 {
    let ms = if mark.breaks >= POISON_BREAK_COUNT { mark.expires_in_ms } else { mark.suspect_ms };
    u64::from(ms)
}

fn causes(coverage: &Coverage) -> Vec<MissCause> {
    let mut causes: Vec<MissCause> = coverage.missing().iter().map(|missing| missing.cause).collect();
    causes.sort();
    causes.dedup();
    causes
}

/// Names the refusal by the cause that the caller can do most about.
fn kind_of(causes: &[MissCause]) -> RefusalKind {
    let has = |cause| causes.binary_search(&cause).is_ok();
    if has(MissCause::Suspect) {
        RefusalKind::Poison
    } else if has(MissCause::Overload) || has(MissCause::Shed) {
        RefusalKind::Overload
    } else if causes.iter().all(|cause| *cause == MissCause::Deadline) {
        RefusalKind::Deadline
    } else {
        RefusalKind::Coverage
    }
}

fn answer(plan: &Plan, gathered: Gathered) -> Result<QueryAnswer, Box<Refusal>> {
    let mut hits = Vec::with_capacity(gathered.hits.len());
    for hit in &gathered.hits {
        let record = hit.raw_record().map_err(|error| {
            let message = format!("record {} is not JSON ({error})", hit.key);
            Box::new(Refusal { ran: gathered.ran, ..Refusal::not_run(RefusalKind::Coverage, message) })
        })?;
        hits.push(AnswerHit { key: hit.key.clone(), score: hit.score, record });
    }
    let missing = gathered.coverage.missing().iter().map(|missing| MissingShard {
        service: missing.shard.service.clone(),
        shard: missing.shard.shard.clone(),
        cause: missing.cause,
    });
    Ok(QueryAnswer {
        query: plan.query,
        snapshot: plan.snapshot,
        coverage: gathered.coverage.share(),
        covered: covered(&gathered.coverage),
        missing: missing.collect(),
        hits,
        ran: gathered.ran,
        attempts: gathered.attempts,
        needed: gathered.needed,
    })
}

fn covered(coverage: &Coverage) -> Vec<ServiceShards> {
    coverage
        .covered()
        .chunk_by(|a, b| a.service == b.service)
        .map(|chunk| ServiceShards {
            service: chunk[0].service.clone(),
            shards: chunk.iter().map(|shard| shard.shard.clone()).collect(),
        })
        .collect()
}
