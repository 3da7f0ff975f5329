//! The distribution of one gather over hosts of a data centre.

use std::time::Duration;

/// The processor time that asking for one part takes, on hosts with a share of a core.
const PART_TIME: Duration = Duration::from_micros(80);
/// The processor time that a call for parts takes on either host.
const CALL_TIME: Duration = Duration::from_micros(500);
/// The share of the latency objective that the host's own time for all parts may take before the gather is split.
const OWN_TIME_SHARE: f64 = 0.25;
/// The least number of shards of a share: those of a smaller one take no more time than the call for them.
const SHARE_SHARDS_MIN: usize = 8;
/// The most shares of a gather: each further host is one more that may be slow or lost.
const SHARES_MAX: usize = 8;
/// How many times shorter a gather with more shares must be expected to be: the calls take processor time that other
/// gathers need.
const GAIN_MIN: f64 = 1.1;

/// A gather that may be split.
#[derive(Clone, Copy, Debug)]
pub struct SpreadGather {
    /// The number of shards that this host would ask.
    pub shards: usize,
    /// The processor time that this host may use, in thousandths of a core.
    pub millicores: u32,
    /// The latency objective of the route.
    pub objective: Duration,
}

/// A host that may be asked for a share of a gather.
#[derive(Clone, Copy, Debug)]
pub struct SpreadCandidate {
    /// The processor time that it may use, in thousandths of a core.
    pub millicores: u32,
    /// Its load, relative to its processor time; those with the least are asked first.
    pub load: f64,
}

/// A share of a gather for another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatherShare {
    /// The index of the candidate that is asked.
    pub candidate: usize,
    /// The number of shards that it is asked for.
    pub shards: usize,
}

impl SpreadGather {
    /// Returns whether this host's own time for all parts exceeds its share of the objective.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.shards >= 2 * SHARE_SHARDS_MIN && busy_time(self.shards, 0, self.millicores) > self.time_max()
    }

    fn time_max(&self) -> Duration {
        self.objective.mul_f64(OWN_TIME_SHARE)
    }
}

/// Splits a gather; returns the shares of other hosts. This host keeps the remaining shards, or all of them where the
/// result is empty.
///
/// The sizes are in proportion to the hosts' processor time. The gather is split into no more shares than are needed
/// for each host to spend at most a quarter of the objective on its parts, and into fewer where the calls for
/// further shares would take longer than they save.
#[must_use]
pub fn gather_spread(gather: SpreadGather, candidates: &[SpreadCandidate]) -> Vec<GatherShare> {
    if !gather.is_too_long() {
        return Vec::new();
    }
    let mut order: Vec<usize> = (0..candidates.len()).filter(|&at| candidates[at].millicores > 0).collect();
    order.sort_by(|&a, &b| candidates[a].load.total_cmp(&candidates[b].load));
    let others_max = order.len().min(SHARES_MAX - 1).min(gather.shards / SHARE_SHARDS_MIN - 1);
    let mut best = Vec::new();
    let mut shortest = busy_time(gather.shards, 0, gather.millicores);
    for others in 1..=others_max {
        let shares = split(gather, candidates, &order[..others]);
        let duration = duration(gather, candidates, &shares);
        let is_enough = are_within(gather, candidates, &shares);
        if duration.mul_f64(GAIN_MIN) < shortest {
            (best, shortest) = (shares, duration);
        }
        if is_enough {
            break;
        }
    }
    best
}

/// Divides the shards in proportion to processor time. Each share has the least number of shards, and no host is
/// asked for more than this host keeps unless it has more processor time.
fn split(gather: SpreadGather, candidates: &[SpreadCandidate], chosen: &[usize]) -> Vec<GatherShare> {
    let others: u64 = chosen.iter().map(|&at| u64::from(candidates[at].millicores)).sum();
    let total = others + u64::from(gather.millicores);
    let share = |&candidate: &usize| {
        let shards = gather.shards as u64 * u64::from(candidates[candidate].millicores) / total;
        GatherShare { candidate, shards: (shards as usize).max(SHARE_SHARDS_MIN) }
    };
    let mut shares: Vec<GatherShare> = chosen.iter().map(share).collect();
    loop {
        let kept = kept_shards(gather, &shares);
        let is_too_large = |share: &&mut GatherShare| {
            let is_larger_host = candidates[share.candidate].millicores > gather.millicores;
            share.shards > SHARE_SHARDS_MIN
                && (kept < SHARE_SHARDS_MIN || !is_larger_host && share.shards > kept)
        };
        match shares.iter_mut().filter(is_too_large).max_by_key(|share| share.shards) {
            Some(share) => share.shards -= 1,
            None => return shares,
        }
    }
}

fn kept_shards(gather: SpreadGather, shares: &[GatherShare]) -> usize {
    gather.shards.saturating_sub(shares.iter().map(|share| share.shards).sum())
}

/// Returns how long the slowest host is expected to be busy.
fn duration(gather: SpreadGather, candidates: &[SpreadCandidate], shares: &[GatherShare]) -> Duration {
    let own = busy_time(kept_shards(gather, shares), shares.len(), gather.millicores);
    let other = |share: &GatherShare| busy_time(share.shards, 1, candidates[share.candidate].millicores);
    shares.iter().map(other).fold(own, Duration::max)
}

/// Returns whether the parts take each host at most its share of the objective.
fn are_within(gather: SpreadGather, candidates: &[SpreadCandidate], shares: &[GatherShare]) -> bool {
    let is_within = |shards, millicores| busy_time(shards, 0, millicores) <= gather.time_max();
    is_within(kept_shards(gather, shares), gather.millicores)
        && shares.iter().all(|share| is_within(share.shards, candidates[share.candidate].millicores))
}

/// Returns how long a host is busy with some parts and calls.
fn busy_time(parts: usize, calls: usize, millicores: u32) -> Duration {
    let core_time = PART_TIME * parts as u32 + CALL_TIME * calls as u32;
    core_time.mul_f64(1000.0 / f64::from(millicores.max(1)))
}
