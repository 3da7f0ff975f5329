//! The distribution of a gather over hosts of a data centre, as properties over random hosts.

use std::time::Duration;

use egret_policy::{GatherShare, SpreadCandidate, SpreadGather, gather_spread};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SHARE_SHARDS_MIN: usize = 8;
const SHARES_MAX: usize = 8;

#[derive(Clone, Debug)]
struct Case {
    gather: SpreadGather,
    candidates: Vec<SpreadCandidate>,
}

impl Case {
    fn shares(&self) -> Vec<GatherShare> {
        gather_spread(self.gather, &self.candidates)
    }

    fn kept(&self, shares: &[GatherShare]) -> usize {
        self.gather
            .shards
            .checked_sub(shares.iter().map(|share| share.shards).sum())
            .expect("too many shards")
    }

    /// Returns whether a host can ask for some parts within a quarter of the objective.
    fn is_within(&self, parts: usize, millicores: u32) -> bool {
        0.08e-3 * parts as f64 * 1000.0 / f64::from(millicores)
            <= self.gather.objective.as_secs_f64() / 4.0 + 1e-9
    }

    fn are_all_within(&self, shares: &[GatherShare]) -> bool {
        self.is_within(self.kept(shares), self.gather.millicores)
            && shares.iter().all(|share| self.is_within(share.shards, self.millicores_of(share)))
    }

    fn millicores_of(&self, share: &GatherShare) -> u32 {
        self.candidates[share.candidate].millicores
    }
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let millicores = |g: &mut Gen| *g.choose(&[20, 84, 84, 84, 300, 500, 4000]).unwrap();
        let gather = SpreadGather {
            shards: usize::arbitrary(g) % 200,
            millicores: millicores(g),
            objective: Duration::from_millis(u64::arbitrary(g) % 250),
        };
        let candidate =
            |g: &mut Gen| SpreadCandidate { millicores: millicores(g), load: f64::from(u8::arbitrary(g)) };
        let candidates = (0..usize::arbitrary(g) % 12).map(|_| candidate(g)).collect();
        Self { gather, candidates }
    }
}

fn check(property: fn(Case) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(1000, 7)).tests(5000).quickcheck(property);
}

/// Guards against shards that two hosts are asked for, or none, and against shares that cost more than they save.
#[test]
fn shares_have_at_least_eight_shards_and_go_to_different_hosts() {
    check(|case| {
        let shares = case.shares();
        let kept = case.kept(&shares);
        let mut candidates: Vec<usize> = shares.iter().map(|share| share.candidate).collect();
        candidates.sort_unstable();
        candidates.dedup();
        shares.is_empty()
            || candidates.len() == shares.len()
                && shares.len() < SHARES_MAX
                && kept >= SHARE_SHARDS_MIN
                && shares.iter().all(|share| share.shards >= SHARE_SHARDS_MIN)
    });
}

/// Guards against calls that a gather does not need: with one host less, one would spend more than a quarter of the
/// objective on its parts.
#[test]
fn a_gather_is_split_no_further_than_needed() {
    check(|case| {
        let mut asked: Vec<SpreadCandidate> =
            case.shares().iter().map(|share| case.candidates[share.candidate]).collect();
        if case.is_within(case.gather.shards, case.gather.millicores) {
            return asked.is_empty();
        }
        asked.pop();
        let fewer = Case { gather: case.gather, candidates: asked };
        case.shares().is_empty() || !fewer.are_all_within(&fewer.shares())
    });
}

/// Guards against hosts that hand on more work than they do themselves.
#[test]
fn only_hosts_with_more_processor_time_get_more_shards_than_the_own_host_keeps() {
    check(|case| {
        let shares = case.shares();
        let kept = case.kept(&shares);
        let is_fair =
            |share: &GatherShare| share.shards <= kept || case.millicores_of(share) > case.gather.millicores;
        shares.iter().all(is_fair)
    });
}

/// Guards against work for loaded hosts while others are idle.
#[test]
fn the_least_loaded_hosts_are_asked() {
    check(|case| {
        let shares = case.shares();
        let asked = |at| shares.iter().any(|share| share.candidate == at);
        let loads = |wanted: bool| {
            let all = case.candidates.iter().enumerate().filter(move |(at, _)| asked(*at) == wanted);
            all.map(|(_, candidate)| candidate.load).collect::<Vec<_>>()
        };
        let greatest = loads(true).into_iter().fold(0.0, f64::max);
        shares.is_empty() || loads(false).into_iter().all(|load| load >= greatest)
    });
}

/// Guards against a distribution that leaves gathers on small hosts as late as without it.
#[test]
fn small_hosts_split_long_gathers_and_large_ones_do_not() {
    let gather = |millicores, objective_ms| SpreadGather {
        shards: 90,
        millicores,
        objective: Duration::from_millis(objective_ms),
    };
    let peers = |millicores| vec![SpreadCandidate { millicores, load: 1.0 }; 20];
    let sizes = |gather, peers: &[SpreadCandidate]| {
        gather_spread(gather, peers).iter().map(|share| share.shards).collect::<Vec<_>>()
    };
    assert_eq!(sizes(gather(84, 120), &peers(84)), [30, 30]);
    assert_eq!(sizes(gather(500, 40), &peers(500)), [45]);
    assert_eq!(sizes(gather(500, 120), &peers(500)), [0; 0]);
    assert_eq!(sizes(gather(84, 120), &peers(500)), [77], "a larger host takes a larger share");
    assert_eq!(sizes(gather(84, 120), &[]), [0; 0]);
}
